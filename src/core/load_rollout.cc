#include "core/load_rollout.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

// A fifth of the runners may load concurrently, or two if that leaves at least half of the runners
// in service. More concurrent loads slow each other down.
constexpr int64_t kRunnersPerConcurrentLoad = 5;
constexpr int64_t kMinConcurrentLoads = 2;
// Time in which processes that have just started list each other and exchange reports.
constexpr Duration kReportTimeout = Seconds(3);
// Time between the loads of two runners that do not hear each other; a load takes less.
constexpr Duration kBlindLoadSpacing = Seconds(2);
// After this time the runner is ordered to load even if it still has runs that cannot continue
// elsewhere; it then finishes them before it loads.
constexpr Duration kFinishTimeout = Millis(2500);

/// Whether the rollout has to finish soon, at the cost of capacity.
bool Overdue(const LoadRollout& rollout) { return rollout.elapsed > rollout.window * 4 / 3; }

int64_t MaxConcurrentLoads(const LoadRollout& rollout) {
  const int64_t count = static_cast<int64_t>(rollout.runners.size());
  const int64_t min_loads = std::max<int64_t>(1, std::min(kMinConcurrentLoads, count / 2));
  const int64_t max_loads = std::max(min_loads, count / kRunnersPerConcurrentLoad);
  if (Overdue(rollout)) return count;
  return rollout.elapsed > rollout.window ? max_loads * 2 : max_loads;
}

}  // namespace

RolloutRunner DescribeRunner(const std::string& id, const RunnerState& state, TimePoint now) {
  RolloutRunner runner;
  runner.id = id;
  runner.weights_version = state.record.weights_version;
  if (state.ReportFresh(now)) runner.phase = state.report->phase;
  runner.heard = state.ReportFresh(now) || state.ReportFailed(now);
  return runner;
}

bool LoadRollout::MayStartFinishing(const std::string& runner) const {
  const std::string salt = absl::StrCat(version);
  const uint64_t own_score = RendezvousScore(salt, runner);
  int64_t ahead = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    const bool waiting = other.phase == WeightLoadPhase::kServing &&
                         other.weights_version < version &&
                         RendezvousScore(salt, other.id) > own_score;
    if (waiting || other.phase != WeightLoadPhase::kServing) ++ahead;
  }
  // While some runners load, as many others finish the runs that cannot be continued elsewhere.
  return ahead < 2 * MaxConcurrentLoads(*this);
}

bool LoadRollout::MissesReports(const std::string& runner) const {
  const std::string salt = absl::StrCat(version);
  const uint64_t own_score = RendezvousScore(salt, runner);
  int64_t others = 0;
  int64_t heard = 0;
  int64_t unheard_before = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    ++others;
    if (other.heard) {
      ++heard;
    } else if (RendezvousScore(salt, other.id) > own_score) {
      ++unheard_before;
    }
  }
  if (2 * heard >= others || Overdue(*this)) return false;
  return watched < kReportTimeout + kBlindLoadSpacing * unheard_before;
}

bool LoadRollout::MayStartLoading(const std::string& runner) const {
  if (MissesReports(runner)) return false;
  const std::string salt = absl::StrCat(version);
  const uint64_t own_score = RendezvousScore(salt, runner);
  int64_t ahead = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    // Reports arrive with a delay: without an order, runners that become ready at the same time
    // would exceed the limit.
    const bool precedes =
        other.phase == WeightLoadPhase::kFinishing && RendezvousScore(salt, other.id) > own_score;
    if (precedes || other.phase == WeightLoadPhase::kLoading) ++ahead;
  }
  return ahead < MaxConcurrentLoads(*this);
}

LoadTurn::Step LoadTurn::Advance(const LoadRollout& rollout, const std::string& runner,
                                 int64_t unrepeatable_runs, TimePoint now) {
  if (phase_ == WeightLoadPhase::kServing) {
    if (!rollout.MayStartFinishing(runner)) return Step::kWait;
    phase_ = WeightLoadPhase::kFinishing;
    finishing_since_ = now;
    return Step::kAnnounceFinishing;
  }
  const bool finished = unrepeatable_runs == 0 && now - finishing_since_ > kPhaseChangeDelay;
  if (!finished && now - finishing_since_ < kFinishTimeout) return Step::kWait;
  if (!rollout.MayStartLoading(runner)) return Step::kWait;
  phase_ = WeightLoadPhase::kLoading;
  return Step::kOrder;
}

}  // namespace fuchsiaweir
