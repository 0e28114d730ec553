#include "core/cold_start_gate.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

// The engine may still report one or two cancelled runs that it has not cleaned up yet.
constexpr int64_t kMaxUnexplainedRuns = 2;

// The time between tokens of a warm batch stays below this multiple of the healthy maximum.
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
  // The report lags, so it is compared with the maximum of the last two report intervals.
  const int64_t max_admitted = std::max({running_, max_running_, previous_max_running_});
  const int64_t reported = report.running + report.waiting;
  const bool load_jump = reported - max_admitted > external_runs_ + kMaxUnexplainedRuns;
  // Known external runs count until a report shows their end, even one that lags behind this gate's
  // latest admissions; otherwise a newly admitted run would hide an external one.
  const int64_t min_admitted = std::min({running_, min_running_, previous_min_running_});
  const int64_t external_runs = std::max(
      {int64_t{0}, reported - max_admitted, std::min(external_runs_, reported - min_admitted)});
  const bool slow_tokens = report.token_time > limits_.healthy_token_time * kSlowTokenFactor;
  external_runs_ = external_runs;
  previous_max_running_ = max_running_;
  max_running_ = running_;
  previous_min_running_ = min_running_;
  min_running_ = running_;
  if (load_jump || slow_tokens) ResetToCold();
}

void ColdStartGate::ResetToCold() {
  // Runs admitted earlier do not show that the runner is warm now, so results of an older
  // generation are ignored.
  ++generation_;
  healthy_runs_ = 0;
  limit_ = limits_.cold_limit;
}

std::optional<Admission> ColdStartGate::TryAdmit() {
  if (!HasCapacity()) return std::nullopt;
  ++running_;
  max_running_ = std::max(max_running_, running_);
  return Admission{generation_};
}

void ColdStartGate::OnRunEnd(const Admission& admission, const RunEnd& end) {
  // Only a run at a full gate shows that the runner sustains its current limit.
  const bool was_full = !HasCapacity();
  running_ = std::max<int64_t>(0, running_ - 1);
  min_running_ = std::min(min_running_, running_);
  if (admission.generation != generation_ || !end.completed) return;
  if (end.token_time > limits_.healthy_token_time) {
    limit_ = std::max(limits_.cold_limit, limit_ / 2);
    return;
  }
  ++healthy_runs_;
  // An engine builds its kernels and memory pools during its first runs and sustains no higher
  // concurrency until then.
  if (was_full && healthy_runs_ >= limits_.warm_up_runs) {
    limit_ = std::min(limits_.max_concurrent, limit_ + 1);
  }
}

}  // namespace fuchsiaweir
