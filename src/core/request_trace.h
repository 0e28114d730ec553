#ifndef FUCHSIAWEIR_CORE_REQUEST_TRACE_H_
#define FUCHSIAWEIR_CORE_REQUEST_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiaweir {

/// One line of a process's log.
struct LogRecord {
  int64_t time_us = 0;  ///< Unix time in microseconds, by the clock of the process's host.
  std::string time;     ///< As it stands in the line.
  std::string process;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< All others, in the line's order.

  /// Value of a field; empty when there is none.
  std::string Field(std::string_view name) const;
};

/// Parses a log line. What stands before the first brace, such as a collector's prefix, is skipped.
/// Returns nothing for a line that is no record.
std::optional<LogRecord> ParseLogRecord(std::string_view line);

/// What the logs tell about one request.
struct RequestTrace {
  std::vector<LogRecord> steps;    ///< Records with the request's id, by time.
  std::vector<LogRecord> context;  ///< What was learned of its runners, and by the processes that
                                   ///< handled it, around its time.
  std::string conclusion;          ///< One sentence; empty without steps.
};

/// Follows a request through the records of all processes.
RequestTrace TraceRequest(const std::vector<LogRecord>& records, const std::string& request);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REQUEST_TRACE_H_
