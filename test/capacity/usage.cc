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

/// Returns the number that follows `label`, or 0 when the text lacks the label.
double NumberAfter(const std::string& text, const std::string& label) {
  const size_t at = text.find(label);
  return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + label.size(), nullptr);
}

std::vector<std::string> SocketLines() {
  FILE* pipe = popen("ss -tinHOp 2>/dev/null", "r");
  if (pipe == nullptr) throw std::runtime_error("cannot start ss");
  std::string text;
  char buffer[65536];
  for (size_t got = 0; (got = fread(buffer, 1, sizeof(buffer), pipe)) > 0;) {
    text.append(buffer, got);
  }
  if (pclose(pipe) != 0) throw std::runtime_error("ss failed; install iproute2");
  return absl::StrSplit(text, '\n', absl::SkipEmpty());
}

}  // namespace

double ProcessorMicros(pid_t process) {
  // schedstat counts nanoseconds; the counters in stat have a resolution of 10 ms.
  double nanos = 0;
  const std::string tasks = absl::StrCat("/proc/", process, "/task");
  for (const auto& task : std::filesystem::directory_iterator(tasks)) {
    std::ifstream file(task.path() / "schedstat");
    double value = 0;
    if (file >> value) nanos += value;
  }
  return nanos / 1000;
}

double OwnMicros() {
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
  for (const std::string& line : SocketLines()) {
    const auto owner = static_cast<pid_t>(NumberAfter(line, "pid="));
    if (std::find(processes_.begin(), processes_.end(), owner) == processes_.end()) continue;
    const std::vector<std::string> fields = absl::StrSplit(line, ' ', absl::SkipEmpty());
    const std::string socket = absl::StrCat(owner, " ", fields.at(3), " ", fields.at(4));
    const double bytes = NumberAfter(line, " bytes_sent:") + NumberAfter(line, " bytes_received:");
    double& seen = counters_[socket];
    if (started_) {
      const double grown = bytes < seen ? bytes : bytes - seen;
      total_ += grown;
      by_process_[owner] += grown;
    }
    seen = bytes;
  }
  started_ = true;
}

double TrafficMeter::largest() const {
  double most = 0;
  for (const auto& [process, bytes] : by_process_) most = std::max(most, bytes);
  return most;
}

}  // namespace fuchsiaweir::capacity
