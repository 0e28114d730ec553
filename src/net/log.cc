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

/// Records of one event in one second on standard output. A gateway at its design load ends about a
/// hundred requests a second with two records each.
constexpr int64_t kRecordsPerSecond = 400;

/// Longest value of a field in bytes: ids and paths are the caller's bytes.
constexpr size_t kMaxValue = 1'000;

/// Counts the records of an event within the current second.
struct EventBound {
  TimePoint second;
  int64_t written = 0;
  int64_t dropped = 0;
};

std::map<std::string, EventBound> event_bounds;  // NOLINT(readability-identifier-naming)
bool bounded = false;                            // NOLINT(readability-identifier-naming)
int64_t records_without_room = 0;                // NOLINT(readability-identifier-naming)

/// Writes to standard output without waiting for its reader. A pipe that polls as writable takes
/// PIPE_BUF bytes at once, and no record is longer.
class NonBlockingBackend : public boost::log::sinks::basic_formatted_sink_backend<
                               char, boost::log::sinks::synchronized_feeding> {
 public:
  void consume(const boost::log::record_view&, const std::string& text) {  // NOLINT
    std::string line = text.substr(0, kMaxLine) + "\n";
    pollfd state{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0 ||
        write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++records_without_room;
    }
  }

 private:
  static constexpr size_t kMaxLine = 4'000;
};

/// Whether the event may have one more record in this second. Returns the number of records that
/// were left out before it in `dropped`.
bool TakeRecord(const std::string& event, int64_t& dropped) {
  EventBound& bound = event_bounds[event];
  const TimePoint now = SteadyNow();
  if (now - bound.second >= Seconds(1)) {
    bound.second = now;
    bound.written = 0;
  }
  if (bound.written >= kRecordsPerSecond) {
    ++bound.dropped;
    return false;
  }
  ++bound.written;
  dropped = std::exchange(bound.dropped, 0);
  return true;
}

void Write(trivial::severity_level level, const std::string& event, const LogFields& fields) {
  int64_t dropped = 0;
  if (bounded && !TakeRecord(event, dropped)) return;
  boost::json::object record{
      {"time", absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone())},
      {"level", trivial::to_string(level)},
      {"process", process_name},
      {"event", event}};
  for (const auto& [name, value] : fields) record[name] = SanitizeUtf8(value, kMaxValue);
  if (dropped > 0) record["left_out"] = dropped;
  if (records_without_room > 0) record["no_room"] = std::exchange(records_without_room, 0);
  BOOST_LOG_STREAM_WITH_PARAMS(trivial::logger::get(), (boost::log::keywords::severity = level))
      << boost::json::serialize(record);
}

}  // namespace

void InitLog(const std::string& level, const std::string& process, LogStream stream) {
  process_name = process;
  trivial::severity_level threshold = trivial::info;
  trivial::from_string(level.data(), level.size(), threshold);
  boost::log::core::get()->set_filter(trivial::severity >= threshold);
  if (stream == LogStream::kStandardOutput) {
    bounded = true;
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
