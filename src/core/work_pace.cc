#include "core/work_pace.h"

#include <algorithm>
#include <cstdlib>

namespace fuchsiaweir {
namespace {

// Weight of the earlier reports' sums at each report. Reports come every 120 ms: a slow period is
// three quarters of the measurement after two of them, and few events still give a stable pace.
constexpr double kKeptShare = 0.4;
// A run generates two or three events between two reports; fewer events in total are rounding.
constexpr double kMinEvents = 3;
// Runs that generated fewer events in this time are stalled, and the time is a lower bound.
constexpr double kMinStalledUs = 400'000;
// Reports further apart may lie before and after a slow period.
constexpr Duration kMaxInterval = Millis(600);
// Accepted difference between the runner's clock and this host's over one interval; a larger one is
// a clock that was set.
constexpr Duration kMaxClockError = Millis(100);

}  // namespace

Duration PaceMeter::Between(const EngineReport& report, TimePoint now) const {
  const Duration own = now - last_at_;
  if (report.runner_time_ms <= 0 || last_->runner_time_ms <= 0) return own;
  // The sidecar reads a report late while its host is busy; the runner's clock tells when it was
  // written.
  const Duration runner = Millis(report.runner_time_ms - last_->runner_time_ms);
  const bool usable =
      runner > Duration{0} && std::abs((runner - own).count()) < kMaxClockError.count();
  return usable ? runner : own;
}

Duration PaceMeter::OnReport(const EngineReport& report, TimePoint now) {
  run_us_ *= kKeptShare;
  events_ *= kKeptShare;
  const Duration between = last_ ? Between(report, now) : Duration{0};
  const bool continued = last_ && report.started_ms == last_->started_ms &&
                         report.weights_version == last_->weights_version &&
                         between <= kMaxInterval;
  if (!continued) {
    run_us_ = 0;
    events_ = 0;
  }
  if (continued && between > Duration{0}) {
    // Both lists are sorted by id.
    auto before = last_->runs.begin();
    for (const RunProgress& run : report.runs) {
      while (before != last_->runs.end() && before->id_hash < run.id_hash) ++before;
      if (before == last_->runs.end()) break;
      // A run without events still reads its prompt. One with fewer than before was started again.
      if (before->id_hash != run.id_hash || before->events <= 0) continue;
      if (run.events < before->events) continue;
      run_us_ += static_cast<double>(between.count());
      events_ += static_cast<double>(run.events - before->events);
    }
  }
  last_ = report;
  last_at_ = now;
  if (events_ < kMinEvents && run_us_ < kMinStalledUs) return Duration{0};
  return Micros(static_cast<int64_t>(run_us_ / std::max(1.0, events_)));
}

}  // namespace fuchsiaweir
