#include "core/request_trace.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

LogRecord Parsed(const std::string& second, const std::string& process, const std::string& event,
                 const std::string& fields) {
  const std::string line =
      absl::StrCat("host7 | {\"time\":\"2026-12-04T10:00:", second, "+00:00\",\"level\":\"info\",",
                   "\"process\":\"", process, "\",\"event\":\"", event, "\"", fields, "}");
  std::optional<LogRecord> record = ParseLogRecord(line);
  CHECK_TEXT(record.has_value(), line.c_str());
  return record.value();
}

}  // namespace

TEST_GROUP(RequestTrace){};

// Guards against steps that are out of order after the logs of several processes are merged.
TEST(RequestTrace, MergesProcessLogsByTime) {
  const std::vector<LogRecord> records{
      Parsed("07.5", "gateway1", "request_ended",
             R"(,"request":"a1","outcome":"cut","took_ms":"2500","last_event":"7")"),
      Parsed("05", "gateway1", "request_sent", R"(,"request":"a1","runner":"r2")"),
      Parsed("07.25", "gateway1", "runner_failed",
             R"(,"request":"a1","runner":"r2","sign":"broken","after_ms":"2250","reason":"reset")"),
      Parsed("06", "gateway1", "request_sent", R"(,"request":"b2","runner":"r2")")};
  const RequestTrace trace = TraceRequest(records, "a1");
  LONGS_EQUAL(3, trace.steps.size());
  STRCMP_EQUAL("request_sent", trace.steps[0].event.c_str());
  STRCMP_EQUAL("runner_failed", trace.steps[1].event.c_str());
  STRCMP_EQUAL(
      "cut after 2500 ms behind event 7; runner r2 was broken 2250 ms after the request was sent "
      "(reset)",
      trace.conclusion.c_str());
}

// Guards against a trace of a refused request without its cause, an unavailable store, and against
// unrelated records in the context.
TEST(RequestTrace, ShowsContextOfProcessAndRunners) {
  const std::vector<LogRecord> records{
      Parsed("01", "gateway1", "store_lost", R"(,"kind":"config")"),
      Parsed("01", "gateway2", "store_lost", R"(,"kind":"config")"),
      Parsed("02", "sidecar4", "weights_ordered", R"(,"runner":"r2")"),
      Parsed("02", "sidecar5", "weights_ordered", R"(,"runner":"r3")"),
      Parsed("02", "gateway2", "runner_listed", R"(,"runner":"r2")"),
      Parsed("03", "gateway1", "request_sent", R"(,"request":"a1","runner":"r2")"),
      Parsed("03", "gateway1", "request_sent", R"(,"request":"b2","runner":"r2")"),
      Parsed("04", "gateway1", "request_refused",
             R"(,"request":"a1","status":"503","reason":"API keys cannot be confirmed")"),
      Parsed("04", "gateway1", "request_ended",
             R"(,"request":"a1","outcome":"refused","took_ms":"1000")"),
      Parsed("30", "gateway1", "store_regained", R"(,"kind":"config")")};
  const RequestTrace trace = TraceRequest(records, "a1");
  LONGS_EQUAL(2, trace.context.size());
  STRCMP_EQUAL("store_lost", trace.context[0].event.c_str());
  STRCMP_EQUAL("gateway1", trace.context[0].process.c_str());
  STRCMP_EQUAL("weights_ordered", trace.context[1].event.c_str());
  STRCMP_EQUAL("answered 503 after 1000 ms: API keys cannot be confirmed",
               trace.conclusion.c_str());
}

// Guards against reporting a request as unknown when only the record of its end is missing.
TEST(RequestTrace, ReportsThatTheEndIsMissing) {
  const std::vector<LogRecord> records{
      Parsed("05", "gateway1", "request_sent", R"(,"request":"a1","runner":"r2")")};
  CHECK(absl::StrContains(TraceRequest(records, "a1").conclusion, "no record of its end"));
  CHECK(TraceRequest(records, "other").steps.empty());
}

// Guards against a request whose end cannot be told from the end of its process.
TEST(RequestTrace, TellsHowTheProcessEnded) {
  std::vector<LogRecord> records{
      Parsed("05", "gateway1", "request_sent", R"(,"request":"a1","runner":"r2")"),
      Parsed("06", "gateway1", "memory_near_limit", ""),
      Parsed("07", "gateway2", "process_crashed", R"(,"signal":"SIGSEGV")")};
  const auto conclusion = [&]() { return TraceRequest(records, "a1").conclusion; };
  CHECK(absl::StrContains(conclusion(), "gateway1 failed or was killed, with its memory near"));
  records.push_back(Parsed("08", "gateway1", "daemon_started", ""));
  CHECK(absl::StrContains(conclusion(), "as if killed, after 2026-12-04T10:00:06"));
  records.push_back(Parsed("07.5", "gateway1", "shutdown_finished", R"(,"in_flight":"1")"));
  CHECK(absl::StrContains(conclusion(), "ended at 2026-12-04T10:00:07.5+00:00 in a planned stop"));
  records.push_back(Parsed("07", "gateway1", "process_crashed", R"(,"signal":"SIGSEGV")"));
  CHECK(absl::StrContains(conclusion(), "gateway1 crashed at 2026-12-04T10:00:07"));
  CHECK(absl::StrContains(conclusion(), "(SIGSEGV)"));
}

// Guards against a command that terminates on a damaged line, for example one truncated by a full
// pipe.
TEST(RequestTrace, ArbitraryLinesAreParsedOrSkipped) {
  CheckProperty("arbitrary lines give a record with time and event, or none", [] {
    std::string line =
        R"({"time":"2026-12-04T10:00:01+00:00","process":"g","event":"e","request":"a"})";
    line = line.substr(0, *rc::gen::inRange<size_t>(0, line.size() + 1)) +
           *rc::gen::arbitrary<std::string>();
    const std::optional<LogRecord> record = ParseLogRecord(line);
    if (record) RC_ASSERT(!record->event.empty() && record->time_us > 0);
  });
}

}  // namespace fuchsiaweir
