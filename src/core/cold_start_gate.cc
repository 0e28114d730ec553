#include "core/cold_start_gate.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

// A report that exceeds the admitted runs by one or two is within what the engine's own clean-up of
// cancelled runs explains.
constexpr int64_t kToleratedForeignRuns = 2;

// A warm batch varies by less than this factor around its healthy token time.
constexpr int64_t kSlowTokenFactor = 3;

}  // namespace

ColdStartGate::ColdStartGate(const GateLimits& limits)
    : limits_(limits), limit_(limits.cold_limit) {}

void ColdStartGate::SetLimits(const GateLimits& limits) {
  limits_ = limits;
  limit_ = std::min(std::max(limit_, limits_.cold_limit), limits_.max_concurrent);
}

void ColdStartGate::OnEngineInstance(const std::string& instance) {
  if (instance == instance_) return;
  instance_ = instance;
  ResetToCold();
}

void ColdStartGate::OnLoadReport(const LoadReport& report) {
  // The report lags, so it is compared with the most that ran over the last two intervals.
  const int64_t explained = std::max({running_, peak_, previous_peak_});
  const int64_t reported = report.running + report.waiting;
  const bool load_jump = reported - explained > foreign_ + kToleratedForeignRuns;
  // Known external_runs runs count until the report shows their end even if it lags behind this
  // gate's latest admissions; otherwise a new run would hide a external_runs one.
  const int64_t certain = std::min({running_, low_, previous_low_});
  const int64_t external_runs =
      std::max({int64_t{0}, reported - explained, std::min(foreign_, reported - certain)});
  const bool slow = report.token_time > limits_.healthy_token_time * kSlowTokenFactor;
  foreign_ = external_runs;
  previous_peak_ = peak_;
  peak_ = running_;
  previous_low_ = low_;
  low_ = running_;
  if (load_jump || slow) ResetToCold();
}

void ColdStartGate::ResetToCold() {
  // Runs admitted earlier say nothing about the cold runner; the new generation ignores their end.
  ++generation_;
  healthy_runs_ = 0;
  limit_ = limits_.cold_limit;
}

std::optional<Admission> ColdStartGate::TryAdmit() {
  if (!HasCapacity()) return std::nullopt;
  ++running_;
  peak_ = std::max(peak_, running_);
  return Admission{generation_};
}

void ColdStartGate::OnRunEnd(const Admission& admission, const RunEnd& end) {
  // Only a full gate shows that the runner bears its limit.
  const bool was_full = !HasCapacity();
  running_ = std::max<int64_t>(0, running_ - 1);
  low_ = std::min(low_, running_);
  if (admission.generation != generation_ || !end.completed) return;
  if (end.token_time > limits_.healthy_token_time) {
    limit_ = std::max(limits_.cold_limit, limit_ / 2);
    return;
  }
  ++healthy_runs_;
  // An engine builds its kernels and pools during its first runs and bears no more until then.
  if (was_full && healthy_runs_ >= limits_.warm_up_runs) {
    limit_ = std::min(limits_.max_concurrent, limit_ + 1);
  }
}

}  // namespace fuchsiaweir
