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
  int64_t time_us = 0;  ///< Unix time in microseconds by the clock of the process's host.
  std::string time;     ///< Timestamp as written in the log line.
  std::string process;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< All others, in line order.

  /// Returns the value of a field, or an empty string if the record does not have it.
  std::string Field(std::string_view name) const;
};

/// Parses a log line. Skips text before the first brace, such as a log collector's prefix. Returns
/// nullopt for a line that is not a record.
std::optional<LogRecord> ParseLogRecord(std::string_view line);

/// Log records that concern one request.
struct RequestTrace {
  std::vector<LogRecord> steps;    ///< Records with the request's id, by time.
  std::vector<LogRecord> context;  ///< Records from around the same time about its runners and
                                   ///< about the state of the processes that handled it, by time.
  std::string conclusion;          ///< Result in one sentence; empty without steps.
};

/// Collects the records of a request from the logs of all processes.
RequestTrace TraceRequest(const std::vector<LogRecord>& records, const std::string& request);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REQUEST_TRACE_H_
