#include "core/request_trace.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

// Events this long before or after a request may explain its result. Exceeds the maximum age of a
// runner's report, and the time that a process continues to serve without the store.
constexpr int64_t kContextWindowUs = 5'000'000;

// Events that change the state of a process, or what its runners take; they are shown even if they
// name no runner of the request.
constexpr std::string_view kProcessEvents[] = {
    "authority_gained",      "authority_lost",       "store_lost",
    "store_regained",        "store_history_gone",   "desired_state_adopted",
    "data_centre_evacuated", "data_centre_restored", "weights_named",
    "part_store_lost",       "part_store_regained",  "shutdown_started",
    "settings_loaded",       "settings_refused",     "daemon_started",
    "runner_paused",         "runner_leaving",       "process_stalled",
    "process_crashed",       "memory_near_limit",    "shutdown_finished"};

std::string ToText(const json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

bool IsProcessEvent(const std::string& event) {
  return std::find(std::begin(kProcessEvents), std::end(kProcessEvents), event) !=
         std::end(kProcessEvents);
}

void SortByTime(std::vector<LogRecord>& records) {
  std::stable_sort(records.begin(), records.end(),
                   [](const LogRecord& a, const LogRecord& b) { return a.time_us < b.time_us; });
}

const LogRecord* FindLast(const std::vector<LogRecord>& steps, std::string_view event) {
  for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
    if (step->event == event) return &*step;
  }
  return nullptr;
}

// Tells how the process that logged the last step ended, as far as its records show.
std::string SummarizeMissingEnd(const LogRecord& last_step, std::vector<LogRecord> records) {
  std::erase_if(records, [&](const LogRecord& record) {
    return record.process != last_step.process || record.time_us < last_step.time_us;
  });
  SortByTime(records);
  const std::string begin = absl::StrCat("no record of its end: ", last_step.process);
  std::string last_time = last_step.time;
  std::string memory;
  for (const LogRecord& record : records) {
    if (record.event == "process_crashed") {
      return absl::StrCat(begin, " crashed at ", record.time, " (", record.Field("signal"),
                          record.Field("reason"), ")");
    }
    if (record.event == "shutdown_finished") {
      return absl::StrCat(begin, " ended at ", record.time, " in a planned stop");
    }
    if (record.event == "memory_near_limit") memory = ", with its memory near the limit";
    if (record.event == "daemon_started") {
      return absl::StrCat(begin, " ended without a record, as if killed, after ", last_time, memory,
                          ", and started again at ", record.time);
    }
    last_time = record.time;
  }
  return absl::StrCat(begin, " failed or was killed", memory, ", or its log is cut, after ",
                      last_time);
}

std::string Summarize(const std::vector<LogRecord>& steps, const std::vector<LogRecord>& records) {
  if (steps.empty()) return "";
  const LogRecord* ended = FindLast(steps, "request_ended");
  if (ended == nullptr) return SummarizeMissingEnd(steps.back(), records);
  const std::string outcome = ended->Field("outcome");
  const std::string took = absl::StrCat(" after ", ended->Field("took_ms"), " ms");
  const LogRecord* refused = FindLast(steps, "request_refused");
  const LogRecord* failed = FindLast(steps, "runner_failed");
  std::string cause;
  if (failed != nullptr) {
    cause = absl::StrCat("; runner ", failed->Field("runner"), " was ", failed->Field("sign"), " ",
                         failed->Field("after_ms"), " ms after the request was sent (",
                         failed->Field("reason"), ")");
  }
  if (outcome == "refused" && refused != nullptr) {
    return absl::StrCat("answered ", refused->Field("status"), took, ": ", refused->Field("reason"),
                        cause);
  }
  if (outcome == "cut") {
    return absl::StrCat("cut", took, " behind event ", ended->Field("last_event"), cause);
  }
  if (outcome == "delivered") {
    return absl::StrCat("delivered", took, ", first byte after ", ended->Field("first_ms"),
                        " ms of an objective of ", ended->Field("objective_ms"), " ms", cause);
  }
  return absl::StrCat(outcome, took, cause);
}

}  // namespace

std::string LogRecord::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return "";
}

std::optional<LogRecord> ParseLogRecord(std::string_view line) {
  const size_t begin = line.find('{');
  if (begin == std::string_view::npos) return std::nullopt;
  boost::system::error_code parse_error;
  const json::value value =
      json::parse(json::string_view(line.data() + begin, line.size() - begin), parse_error);
  if (parse_error || !value.is_object()) return std::nullopt;
  LogRecord record;
  for (const auto& [key, field] : value.as_object()) {
    if (key == "time") {
      record.time = ToText(field);
    } else if (key == "process") {
      record.process = ToText(field);
    } else if (key == "event") {
      record.event = ToText(field);
    } else {
      record.fields.emplace_back(key, ToText(field));
    }
  }
  absl::Time time;
  std::string error;
  if (record.event.empty() || !absl::ParseTime(absl::RFC3339_full, record.time, &time, &error)) {
    return std::nullopt;
  }
  record.time_us = absl::ToUnixMicros(time);
  return record;
}

RequestTrace TraceRequest(const std::vector<LogRecord>& records, const std::string& request) {
  RequestTrace trace;
  std::set<std::string> processes;
  std::set<std::string> runners;
  for (const LogRecord& record : records) {
    if (record.Field("request") != request) continue;
    trace.steps.push_back(record);
    processes.insert(record.process);
    const std::string runner = record.Field("runner");
    if (!runner.empty()) runners.insert(runner);
  }
  if (trace.steps.empty()) return trace;
  SortByTime(trace.steps);
  const int64_t from = trace.steps.front().time_us - kContextWindowUs;
  const int64_t to = trace.steps.back().time_us + kContextWindowUs;
  for (const LogRecord& record : records) {
    if (record.time_us < from || record.time_us > to) continue;
    // Of other requests to the same runner, only the failures are shown.
    const bool other_request = !record.Field("request").empty();
    if (record.Field("request") == request) continue;
    const bool handled_request = processes.count(record.process) > 0;
    const bool about_runner =
        runners.count(record.Field("runner")) > 0 &&
        (!other_request || record.event == "runner_failed" || record.event == "runner_unreachable");
    // Every gateway logs changes of the runner list; only those of the processes that handled the
    // request could affect it.
    const bool list_change = absl::StartsWith(record.event, "runner_") && !other_request;
    const bool shown = about_runner && (handled_request || !list_change);
    if (shown || (handled_request && IsProcessEvent(record.event))) trace.context.push_back(record);
  }
  SortByTime(trace.context);
  trace.conclusion = Summarize(trace.steps, records);
  return trace;
}

}  // namespace fuchsiaweir
