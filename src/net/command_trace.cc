#include "net/command_trace.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <utility>

#include "core/request_trace.h"

namespace fuchsiaweir {
namespace {

void ReadRecords(std::istream& in, std::vector<LogRecord>& records) {
  std::string line;
  while (std::getline(in, line)) {
    if (std::optional<LogRecord> record = ParseLogRecord(line)) {
      records.push_back(*std::move(record));
    }
  }
}

std::string ToText(const std::vector<LogRecord>& records) {
  std::string text;
  for (const LogRecord& record : records) {
    absl::StrAppend(&text, "  ", record.time, " ", record.process, " ", record.event);
    for (const auto& [name, value] : record.fields) {
      if (name == "request" || name == "level" || value.empty()) continue;
      absl::StrAppend(&text, " ", name, "=", value);
    }
    text += "\n";
  }
  return text;
}

boost::json::array ToJson(const std::vector<LogRecord>& records) {
  boost::json::array array;
  for (const LogRecord& record : records) {
    boost::json::object object{
        {"time", record.time}, {"process", record.process}, {"event", record.event}};
    for (const auto& [name, value] : record.fields) object[name] = value;
    array.push_back(std::move(object));
  }
  return array;
}

}  // namespace

ExitCode RunTrace(const Operands& operands) {
  if (operands.empty()) return ExitCode::kUsage;
  std::vector<LogRecord> records;
  if (operands.size() == 1) ReadRecords(std::cin, records);
  for (size_t i = 1; i < operands.size(); ++i) {
    std::ifstream file(operands[i]);
    if (!file) {
      std::cerr << operands[i] << " cannot be read\n";
      return ExitCode::kFindings;
    }
    ReadRecords(file, records);
  }
  const RequestTrace trace = TraceRequest(records, operands[0]);
  if (JsonOutput()) {
    std::cout << boost::json::serialize(boost::json::object{{"request", operands[0]},
                                                            {"conclusion", trace.conclusion},
                                                            {"steps", ToJson(trace.steps)},
                                                            {"context", ToJson(trace.context)}})
              << "\n";
  } else if (trace.steps.empty()) {
    std::cout << "no record has the id " << operands[0] << " in " << records.size() << " records\n";
  } else {
    std::cout << trace.conclusion << "\nsteps:\n" << ToText(trace.steps);
    if (!trace.context.empty()) std::cout << "around it:\n" << ToText(trace.context);
  }
  return trace.steps.empty() ? ExitCode::kFailed : ExitCode::kDone;
}

}  // namespace fuchsiaweir
