#include "net/process_usage.h"

#include <absl/strings/str_cat.h>
#include <dirent.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <utility>

#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kReportPeriod = Seconds(10);
constexpr Duration kMemoryCheckPeriod = Seconds(1);
/// Shares of the memory limit between which a warning is not repeated.
constexpr double kNearLimitShare = 0.8;
constexpr double kRegainedShare = 0.75;
constexpr int64_t kBytesPerMb = 1'000'000;

std::optional<int64_t> ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) return std::nullopt;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

std::optional<int64_t> OpenDescriptors() {
  DIR* directory = opendir("/proc/self/fd");
  if (directory == nullptr) return std::nullopt;
  int64_t count = 0;
  while (const dirent* entry = readdir(directory)) {
    if (entry->d_name[0] != '.') ++count;
  }
  closedir(directory);
  return count - 1;  // Without the descriptor of the directory.
}

std::string Text(const std::optional<int64_t>& number, int64_t unit = 1) {
  return number ? absl::StrCat(*number / unit) : "unknown";
}

}  // namespace

Usage ReadUsage() {
  Usage usage;
  usage.resident_bytes = ResidentBytes();
  usage.descriptors = OpenDescriptors();
  rusage total{};
  if (getrusage(RUSAGE_SELF, &total) == 0) {
    usage.peak_bytes = total.ru_maxrss * 1'024;
    usage.processor_ms = (total.ru_utime.tv_sec + total.ru_stime.tv_sec) * 1'000 +
                         (total.ru_utime.tv_usec + total.ru_stime.tv_usec) / 1'000;
  }
  return usage;
}

ProcessUsage::ProcessUsage(ComponentRegistry& components, std::function<int64_t()> limit_bytes,
                           std::function<LogFields()> more_fields)
    : limit_bytes_(std::move(limit_bytes)), more_fields_(std::move(more_fields)) {
  TimerService& timer = components.Find<TimerService>("timer");
  timer.Subscribe("process_usage", kReportPeriod, [this](TimePoint) { Report(); });
  timer.Subscribe("memory_check", kMemoryCheckPeriod, [this](TimePoint) { CheckMemory(); });
}

void ProcessUsage::Report() const {
  const Usage usage = ReadUsage();
  LogFields fields{{"resident_mb", Text(usage.resident_bytes, kBytesPerMb)},
                   {"peak_mb", Text(usage.peak_bytes, kBytesPerMb)},
                   {"limit_mb", absl::StrCat(limit_bytes_() / kBytesPerMb)},
                   {"descriptors", Text(usage.descriptors)},
                   {"processor_ms", Text(usage.processor_ms)}};
  for (auto& field : more_fields_()) fields.push_back(std::move(field));
  LogInfo("process_usage", fields);
}

void ProcessUsage::CheckMemory() {
  const std::optional<int64_t> resident = ResidentBytes();
  if (!resident) return;
  const double share = static_cast<double>(*resident) / static_cast<double>(limit_bytes_());
  if (share < kRegainedShare) near_limit_ = false;
  if (near_limit_ || share < kNearLimitShare) return;
  near_limit_ = true;
  LogFields fields{{"resident_mb", Text(resident, kBytesPerMb)},
                   {"limit_mb", absl::StrCat(limit_bytes_() / kBytesPerMb)}};
  for (auto& field : more_fields_()) fields.push_back(std::move(field));
  LogWarning("memory_near_limit", fields);
}

}  // namespace fuchsiaweir
