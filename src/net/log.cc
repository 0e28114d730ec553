#include "net/log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace fuchsiaweir {
namespace {

namespace trivial = boost::log::trivial;

std::string process_name = "fuchsiaweir";  // NOLINT(readability-identifier-naming)

void Write(trivial::severity_level level, const std::string& event, const LogFields& fields) {
  boost::json::object record{
      {"time", absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone())},
      {"level", trivial::to_string(level)},
      {"process", process_name},
      {"event", event}};
  for (const auto& [name, value] : fields) record[name] = value;
  BOOST_LOG_STREAM_WITH_PARAMS(trivial::logger::get(), (boost::log::keywords::severity = level))
      << boost::json::serialize(record);
}

}  // namespace

void InitLog(const std::string& level, const std::string& process) {
  process_name = process;
  trivial::severity_level threshold = trivial::info;
  trivial::from_string(level.data(), level.size(), threshold);
  boost::log::core::get()->set_filter(trivial::severity >= threshold);
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
