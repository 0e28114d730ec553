#include "capacity/usage.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace fuchsiaweir::capacity {
namespace {

/// Returns the number that follows `label`, or 0 if the text does not contain the label.
double NumberAfter(const std::string& text, const std::string& label) {
  const size_t at = text.find(label);
  return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + label.size(), nullptr);
}

std::vector<std::string> ReadSocketStatistics() {
  FILE* pipe = popen("ss -tinHOp 2>/dev/null", "r");
  if (pipe == nullptr) throw std::runtime_error("cannot start ss to read the socket statistics");
  std::string text;
  char buffer[65536];
  for (size_t count = 0; (count = fread(buffer, 1, sizeof(buffer), pipe)) > 0;) {
    text.append(buffer, count);
  }
  const int status = pclose(pipe);
  if (status != 0) {
    throw std::runtime_error(
        absl::StrCat("ss failed with wait status ", status, "; install iproute2"));
  }
  return absl::StrSplit(text, '\n', absl::SkipEmpty());
}

}  // namespace

double CpuTimeMicros(pid_t process) {
  // schedstat has a resolution of nanoseconds, the counters in stat one of 10 ms.
  double nanos = 0;
  const std::string tasks = absl::StrCat("/proc/", process, "/task");
  for (const auto& task : std::filesystem::directory_iterator(tasks)) {
    std::ifstream file(task.path() / "schedstat");
    double value = 0;
    if (file >> value) nanos += value;
  }
  return nanos / 1000;
}

double OwnCpuTimeMicros() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double ResidentBytes(pid_t process) {
  std::ifstream file(absl::StrCat("/proc/", process, "/status"));
  std::stringstream text;
  text << file.rdbuf();
  return NumberAfter(text.str(), "VmRSS:") * 1024;
}

TrafficMeter::TrafficMeter(std::vector<pid_t> processes) : processes_(std::move(processes)) {}

void TrafficMeter::Sample() {
  for (const std::string& line : ReadSocketStatistics()) {
    const auto pid = static_cast<pid_t>(NumberAfter(line, "pid="));
    if (std::find(processes_.begin(), processes_.end(), pid) == processes_.end()) continue;
    const std::vector<std::string> fields = absl::StrSplit(line, ' ', absl::SkipEmpty());
    const std::string socket = absl::StrCat(pid, " ", fields.at(3), " ", fields.at(4));
    const double bytes = NumberAfter(line, " bytes_sent:") + NumberAfter(line, " bytes_received:");
    double& previous = socket_bytes_[socket];
    if (has_baseline_) {
      // A counter below the previous one belongs to a new connection with the same addresses.
      const double increase = bytes < previous ? bytes : bytes - previous;
      total_bytes_ += increase;
      process_bytes_[pid] += increase;
    }
    previous = bytes;
  }
  has_baseline_ = true;
}

double TrafficMeter::max_by_process() const {
  double max_bytes = 0;
  for (const auto& [process, bytes] : process_bytes_) max_bytes = std::max(max_bytes, bytes);
  return max_bytes;
}

}  // namespace fuchsiaweir::capacity
