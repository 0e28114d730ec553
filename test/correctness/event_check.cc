#include "core/event_check.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

namespace fuchsiaweir::testing {
namespace {

/// Checks a run's bytes, and returns what the caller gets of them; "broken" ends it at bytes that
/// are no event.
std::string Relay(const std::string& bytes, bool resumed = false, int64_t last_event_id = 0) {
  EventSplitter splitter;
  EventCheck check(resumed);
  splitter.Add(bytes);
  std::string text;
  while (const std::optional<StreamEvent> event = splitter.Next()) {
    const EventVerdict verdict = check.Check(*event, last_event_id);
    if (verdict == EventVerdict::kMalformed) return text + "broken";
    if (verdict == EventVerdict::kDuplicate) continue;
    last_event_id = event->id.value_or(last_event_id);
    text += event->bytes;
  }
  return text;
}

constexpr char kFirst[] = "id: 1\ndata: one\n\n";
constexpr char kSecond[] = "id: 2\ndata: two\n\n";

}  // namespace

TEST_GROUP(EventChecks){};

// Guards against an error of the next runner in the middle of a caller's stream: its text, or all
// of its response, behind an event that the runner before did not complete.
TEST(EventChecks, ResponsesBetweenEventsAreNotForwarded) {
  const std::string first = kFirst;
  const std::string expected = first + "broken";
  const std::string head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\n";
  for (const std::string& rest :
       {head + "failed", "id: 2\nda" + head, "id: 2\ndata: t" + head,
        std::string("HTTP/1.1 500 Internal Server Error\n\n"),
        std::string("id: 2\nContent-Type: text/plain\n\n"),
        std::string("the model is not loaded\n\n"), std::string("error: not loaded\n\n")}) {
    STRCMP_EQUAL_TEXT(expected.c_str(), Relay(first + rest).c_str(), rest.c_str());
  }
}

// Guards against text without an id that is taken for the continuation of a stream.
TEST(EventChecks, AResumedRunNeedsIds) {
  STRCMP_EQUAL("broken", Relay("data: failed\n\n", true, 5).c_str());
  STRCMP_EQUAL("data: whole\n\n", Relay("data: whole\n\n").c_str());
}

// Guards against sound streams that are broken off: with comments, other line ends, fields that the
// standard does not name, and events that the caller has already.
TEST(EventChecks, SoundStreamsAreForwarded) {
  const std::string both = std::string(kFirst) + kSecond;
  STRCMP_EQUAL(both.c_str(), Relay(both).c_str());
  STRCMP_EQUAL(kSecond, Relay(both, true, 1).c_str());
  const std::string comment = std::string(kFirst) + ": still working\n\n" + kSecond;
  STRCMP_EQUAL(comment.c_str(), Relay(comment).c_str());
  const std::string lines = "id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\n";
  STRCMP_EQUAL(lines.c_str(), Relay(lines).c_str());
  const std::string fields = "weight-versions: 3\nid: 1\nevent: token\nretry: 5\ndata\n\n";
  STRCMP_EQUAL(fields.c_str(), Relay(fields).c_str());
}

}  // namespace fuchsiaweir::testing
