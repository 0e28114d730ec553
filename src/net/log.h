#ifndef FUCHSIAWEIR_NET_LOG_H_
#define FUCHSIAWEIR_NET_LOG_H_

#include <string>
#include <utility>
#include <vector>

namespace fuchsiaweir {

/// Fields of a log record: names with values.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Output of the log records.
enum class LogStream {
  kStandardError,   ///< Blocking writes, flushed after each record.
  kStandardOutput,  ///< Non-blocking and rate-limited per event: records that the pipe does not
                    ///< accept or that exceed the rate are dropped and counted.
};

/// Writes records of at least `level` (debug, info, warning or error) to `stream`, as one JSON
/// object per line. Every record contains `process`, the name of the process. A later call replaces
/// all three.
void InitLog(const std::string& level, const std::string& process,
             LogStream stream = LogStream::kStandardError);

/// Writes a record. `event` is a stable name for log queries. Fields must not contain text of
/// prompts or completions.
void LogDebug(const std::string& event, const LogFields& fields = {});
void LogInfo(const std::string& event, const LogFields& fields = {});
void LogWarning(const std::string& event, const LogFields& fields = {});
void LogError(const std::string& event, const LogFields& fields = {});

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_LOG_H_
