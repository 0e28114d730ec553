#ifndef FUCHSIAWEIR_CORE_CLOCK_H_
#define FUCHSIAWEIR_CORE_CLOCK_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace fuchsiaweir {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Point on a monotonic clock. Decision logic receives it as an argument and never reads a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

constexpr Duration Micros(int64_t n) { return Duration(n); }
constexpr Duration Millis(int64_t n) { return std::chrono::milliseconds(n); }
constexpr Duration Seconds(int64_t n) { return std::chrono::seconds(n); }
constexpr double ToSeconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
constexpr int64_t ToMillis(Duration d) { return d.count() / 1000; }

/// Reads the monotonic clock. Only daemons may call this.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Reads a monotonic clock that keeps running while the host is suspended; used for leases.
inline TimePoint SuspendAwareNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + Micros(now.tv_nsec / 1000));
}

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CLOCK_H_
