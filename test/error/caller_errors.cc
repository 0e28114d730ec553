#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>

#include <boost/json.hpp>
#include <string>

#include "core/completion_api.h"
#include "core/json_fields.h"
#include "core/utf8.h"
#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(CallerErrors){};

// Guards against bytes of a caller that make the JSON of an error unreadable or fill it.
TEST(CallerErrors, AnyBytesLeaveTheErrorReadable) {
  CheckProperty("an error with arbitrary bytes is bounded, strict JSON", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const Error error{ErrorCode::kUnknownModel, RunState::kNotRun, "unknown model " + bytes,
                      Duration{0}};
    const std::string text = boost::json::serialize(ErrorToJson(error));
    boost::system::error_code failure;
    const boost::json::value value = boost::json::parse(text, failure);
    RC_ASSERT(!failure);
    RC_ASSERT(value.at("message").as_string().size() <= kMaxErrorMessageBytes);
  });
}

// Guards against a cut within a character.
TEST(CallerErrors, TextIsCutBetweenCharacters) {
  STRCMP_EQUAL("abc", SanitizeUtf8("abc", 3).c_str());
  STRCMP_EQUAL("a...", SanitizeUtf8("a\xE6\xA9\x8B\xE6\xA9\x8B", 6).c_str());
  STRCMP_EQUAL("\xEF\xBF\xBD(", SanitizeUtf8("\xC3(", 10).c_str());
}

// Guards against places in the source of a library in a message that a caller reads.
TEST(CallerErrors, MalformedRequestsNameNoSource) {
  for (const char* body :
       {"", "{", "[]", "{}", R"({"model":1})", R"({"model":"m"})", R"({"model":"m","prompt":7})",
        R"({"model":"m","prompt":"a","max_tokens":"x"})",
        R"({"model":"m","prompt":"a","stream":1})"}) {
    const Result<CompletionRequest> request = ParseCompletionRequest(CompletionKind::kText, body);
    CHECK_TEXT(request.has_error(), body);
    const std::string& message = request.error().message;
    CHECK_TEXT(!absl::StrContains(message, "boost") && !absl::StrContains(message, ".hpp") &&
                   !absl::StrContains(message, "["),
               message.c_str());
  }
}

// Guards against a message that does not tell which member is wrong.
TEST(CallerErrors, MessagesNameTheMember) {
  const Result<CompletionRequest> missing =
      ParseCompletionRequest(CompletionKind::kText, R"({"model":"m"})");
  CHECK(absl::StrContains(missing.error().message, "\"prompt\" is missing"));
  const Result<CompletionRequest> wrong = ParseCompletionRequest(
      CompletionKind::kText, R"({"model":"m","prompt":"a","max_tokens":"x"})");
  CHECK(absl::StrContains(wrong.error().message, "\"max_tokens\" must be an integer"));
}

}  // namespace fuchsiaweir
