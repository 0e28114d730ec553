#include "net/log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <poll.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <map>
#include <utility>

#include "core/clock.h"
#include "core/utf8.h"

namespace fuchsiaweir {
namespace {

namespace trivial = boost::log::trivial;

std::string process_name = "fuchsiaweir";  // NOLINT(readability-identifier-naming)

// Limit per event on standard output. A gateway at its design load completes about 100 requests per
// second and writes two records for each.
constexpr int64_t kMaxRecordsPerSecond = 400;

// Field values are truncated to this size, as ids and paths come from callers.
constexpr size_t kMaxValueBytes = 1'000;

/// Rate limit of one event.
struct EventRateLimit {
  TimePoint window_start;  ///< Start of the current one-second window.
  int64_t written = 0;     ///< Records in the window.
  int64_t dropped = 0;     ///< Records dropped since the last one that was written.
};

std::map<std::string, EventRateLimit> rate_limits;  // NOLINT(readability-identifier-naming)
bool rate_limited = false;                          // NOLINT(readability-identifier-naming)
int64_t unwritten_records = 0;                      // NOLINT(readability-identifier-naming)

/// Writes to standard output without blocking. A pipe that polls as writable accepts PIPE_BUF bytes
/// without blocking, and no line is longer.
class NonBlockingBackend : public boost::log::sinks::basic_formatted_sink_backend<
                               char, boost::log::sinks::synchronized_feeding> {
 public:
  void consume(const boost::log::record_view&, const std::string& text) {  // NOLINT
    std::string line = text.substr(0, kMaxLineBytes) + "\n";
    pollfd state{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0 ||
        write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++unwritten_records;
    }
  }

 private:
  static constexpr size_t kMaxLineBytes = 4'000;
};

/// Returns whether the rate limit admits one more record of the event, and in `dropped` the number
/// of records dropped since the last admitted one.
bool TryAdmitRecord(const std::string& event, int64_t& dropped) {
  EventRateLimit& limit = rate_limits[event];
  const TimePoint now = SteadyNow();
  if (now - limit.window_start >= Seconds(1)) {
    limit.window_start = now;
    limit.written = 0;
  }
  if (limit.written >= kMaxRecordsPerSecond) {
    ++limit.dropped;
    return false;
  }
  ++limit.written;
  dropped = std::exchange(limit.dropped, 0);
  return true;
}

void Write(trivial::severity_level level, const std::string& event, const LogFields& fields) {
  int64_t dropped = 0;
  if (rate_limited && !TryAdmitRecord(event, dropped)) return;
  boost::json::object record{
      {"time", absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone())},
      {"level", trivial::to_string(level)},
      {"process", process_name},
      {"event", event}};
  for (const auto& [name, value] : fields) record[name] = SanitizeUtf8(value, kMaxValueBytes);
  if (dropped > 0) record["left_out"] = dropped;
  if (unwritten_records > 0) record["no_room"] = std::exchange(unwritten_records, 0);
  BOOST_LOG_STREAM_WITH_PARAMS(trivial::logger::get(), (boost::log::keywords::severity = level))
      << boost::json::serialize(record);
}

}  // namespace

void InitLog(const std::string& level, const std::string& process, LogStream stream) {
  process_name = process;
  trivial::severity_level threshold = trivial::info;
  trivial::from_string(level.data(), level.size(), threshold);
  boost::log::core::get()->set_filter(trivial::severity >= threshold);
  boost::log::core::get()->remove_all_sinks();
  if (stream == LogStream::kStandardOutput) {
    rate_limited = true;
    using Sink = boost::log::sinks::synchronous_sink<NonBlockingBackend>;
    auto sink = boost::make_shared<Sink>();
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    return;
  }
  boost::log::add_console_log(std::cerr, boost::log::keywords::format = "%Message%",
                              boost::log::keywords::auto_flush = true);
}

void LogDebug(const std::string& event, const LogFields& fields) {
  Write(trivial::debug, event, fields);
}
void LogInfo(const std::string& event, const LogFields& fields) {
  Write(trivial::info, event, fields);
}
void LogWarning(const std::string& event, const LogFields& fields) {
  Write(trivial::warning, event, fields);
}
void LogError(const std::string& event, const LogFields& fields) {
  Write(trivial::error, event, fields);
}

}  // namespace fuchsiaweir
