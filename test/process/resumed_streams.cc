// Tests of streams that a runner breaks off and that the next runner does not continue.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <string>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr char kLastChunk[] = "\r\n0\r\n\r\n";
constexpr int kStreams = 6;

}  // namespace

TEST_GROUP(ResumedStreams) {
  Fleet fleet{1, 2};

  /// Lets both runners break off each stream after three events and answer a request that resumes
  /// one with `answer`. Checks that callers see three events and a cut.
  void CheckCut(const std::string& answer) {
    fleet.Start();
    for (const char* runner : {"runner0", "runner1"}) {
      fleet.InjectFault(runner, absl::StrCat(R"({"cut_after": 3, "resumed": ")", answer, R"("})"));
    }
    for (int i = 0; i < kStreams; ++i) {
      const std::string received = fleet.CallForBytes("/stream/", "events=8");
      // A runner that just broke off may be avoided, so that a later stream is refused.
      if (!absl::StartsWith(received, "HTTP/1.1 200")) continue;
      CHECK_TEXT(absl::StrContains(received, "data: token 3\n"), received.c_str());
      CHECK_TEXT(!absl::StrContains(received, "not loaded"), received.c_str());
      CHECK_TEXT(!absl::EndsWith(received, kLastChunk), received.c_str());
    }
    CHECK(fleet.Runs(0) + fleet.Runs(1) > 1);
  }
};

// Guards against the text of another answer in the middle of a caller's stream: it was split into
// events like a stream's own.
TEST(ResumedStreams, TextOfAnotherAnswerIsNotForwarded) { CheckCut("text"); }

// Guards against a stream that ends as if it were complete because the next runner's answer is
// empty.
TEST(ResumedStreams, AnEmptyAnswerDoesNotCompleteAStream) { CheckCut("empty"); }

// Guards against a stream that ends as if it were complete, or with an error's text, because the
// next runner refuses it.
TEST(ResumedStreams, ARefusalDoesNotCompleteAStream) { CheckCut("refusal"); }

// Guards against an error of the same runner, with its header, behind an event that is not
// complete, in a stream whose end only the connection shows.
TEST(ResumedStreams, ASecondHeaderIsNotForwarded) {
  fleet.Start();
  for (const char* runner : {"runner0", "runner1"}) {
    fleet.InjectFault(runner, R"({"unframed": 3, "second_head": true})");
  }
  const std::string received = fleet.CallForBytes("/single/", "events=8");
  CHECK_TEXT(absl::StrContains(received, "data: token 3\n"), received.c_str());
  CHECK_TEXT(!absl::StrContains(received, "Internal Server Error"), received.c_str());
  CHECK_TEXT(!absl::EndsWith(received, kLastChunk), received.c_str());
}

}  // namespace fuchsiaweir::testing
