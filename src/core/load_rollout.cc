#include "core/load_rollout.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

// A fifth of the runners may load concurrently, or two if that leaves at least half of the runners
// in service. More concurrent loads slow each other down.
constexpr int64_t kRunnersPerConcurrentLoad = 5;
constexpr int64_t kMinConcurrentLoads = 2;
// Shares of the runners that may be in any phase but kServing at the same time. Runs that cannot
// be continued elsewhere, two thirds of the traffic, need the others.
constexpr double kMinPausedShare = 0.2;
constexpr double kMaxPausedShare = 0.3;
// Used share of the runners in service up to which they take over the work of the others. Placement
// fills the memory of a runner to between 0.7 and 0.93, depending on the priority.
constexpr double kMaxUsedShare = 0.85;
// Time from the announcement of a load until the next runner starts its own; the load itself takes
// 1.1 to 1.3 s.
constexpr Duration kLoadCycle = Millis(1500);
// A runner that was not in service in its last report may load until this time after the report.
constexpr Duration kMaxUnheardLoad = Seconds(4);
// Time in which processes that have just started list each other and exchange reports.
constexpr Duration kReportTimeout = Seconds(3);
// Time between the loads of two runners that do not hear each other; a load takes less.
constexpr Duration kBlindLoadSpacing = Seconds(2);
// Once the rollout exceeds its window, the runner is ordered to load this time after it began to
// finish its runs, even if some are left that cannot continue elsewhere. It then accepts nothing
// and occupies a concurrent load until they end, so this is not done earlier.
constexpr Duration kFinishTimeout = Millis(2500);
// A runner changes its place in the order when its long runs begin or end. It uses the new place
// once the others know it, which takes two reports if one is lost.
constexpr Duration kOrderNotice = Millis(250);

constexpr std::array<std::string_view, 6> kStepNames = {"wait",  "withdrawn", "finishing",
                                                        "ready", "loading",   "ordered"};

/// Whether the rollout has to finish soon, at the cost of capacity.
bool Overdue(const LoadRollout& rollout) { return rollout.elapsed > rollout.window * 4 / 3; }

/// Numbers of runners that may be in a phase at the same time.
struct Limits {
  int64_t loading = 0;
  int64_t paused = 0;  ///< In any phase but kServing.
};

/// Returns the share of the runners that the others can replace at the present load.
double SpareShare(const std::vector<RolloutRunner>& runners) {
  double used = 0;
  double heard = 0;
  for (const RolloutRunner& runner : runners) {
    if (!runner.heard || !runner.answers) continue;
    used += runner.used;
    heard += 1;
  }
  const double mean = heard == 0 ? 0 : used / heard;
  return std::clamp(1 - mean / kMaxUsedShare, kMinPausedShare, kMaxPausedShare);
}

Limits LimitsFor(const LoadRollout& rollout, const RolloutRunner& self) {
  const auto count = static_cast<int64_t>(rollout.runners.size());
  if (Overdue(rollout)) return {count, count};
  const int64_t min_loads = std::max<int64_t>(1, std::min(kMinConcurrentLoads, count / 2));
  const int64_t max_loads = std::max(min_loads, count / kRunnersPerConcurrentLoad);
  // Runners with newer weights than this one have a later deadline.
  int64_t left = 0;
  for (const RolloutRunner& other : rollout.runners) {
    if (other.weights_version < rollout.version && other.weights_version <= self.weights_version) {
      ++left;
    }
  }
  const int64_t rounds = (left + max_loads - 1) / max_loads;
  const bool late = rollout.elapsed + kLoadCycle * rounds > rollout.window * 4 / 3;
  const double share = late ? kMaxPausedShare : SpareShare(rollout.runners);
  const auto spare = static_cast<int64_t>(std::ceil(share * static_cast<double>(count) - 1e-9));
  const int64_t paused = std::clamp(spare, max_loads, 2 * max_loads);
  const bool raised = late && rollout.elapsed > rollout.window;
  return {raised ? 2 * max_loads : max_loads, paused};
}

class RolloutOrder {
 public:
  RolloutOrder(const LoadRollout& rollout, const std::string& runner)
      : window_(rollout.window),
        salt_(absl::StrCat(rollout.version)),
        own_score_(RendezvousScore(salt_, runner)) {
    self_.id = runner;
    for (const RolloutRunner& other : rollout.runners) {
      if (other.id == runner) self_ = other;
    }
  }

  const RolloutRunner& self() const { return self_; }
  /// Whether `other` comes before this runner.
  bool Precedes(const RolloutRunner& other) const {
    if (Urgent(other) != Urgent(self_)) return Urgent(other);
    if (other.long_runs != self_.long_runs) return self_.long_runs;
    if (other.weights_version != self_.weights_version) {
      return other.weights_version < self_.weights_version;
    }
    return Outranks(other);
  }
  /// Whether `other` comes before this runner by the part of the order that needs no reports.
  bool Outranks(const RolloutRunner& other) const {
    return RendezvousScore(salt_, other.id) > own_score_;
  }

 private:
  /// Whether the runner has to load soon even if runs delay its load.
  bool Urgent(const RolloutRunner& runner) const { return runner.lag > window_; }

  Duration window_;
  std::string salt_;
  uint64_t own_score_;
  RolloutRunner self_;
};

double UsedShare(const RunnerState& state) {
  const EngineReport& report = *state.report;
  const auto slots = static_cast<double>(std::max<int64_t>(1, state.record.slots));
  const double slot_share = static_cast<double>(report.running + report.waiting) / slots;
  if (report.memory_total <= 0) return slot_share;
  return std::max(slot_share, static_cast<double>(report.memory_used) /
                                  static_cast<double>(report.memory_total));
}

}  // namespace

RolloutRunner DescribeRunner(const std::string& id, const RunnerState& state, TimePoint now) {
  RolloutRunner runner;
  runner.id = id;
  runner.weights_version = state.record.weights_version;
  runner.answers = !state.ReportFailed(now);
  runner.heard = state.ReportFresh(now) || !runner.answers;
  if (state.ReportFresh(now)) {
    runner.phase = state.report->phase;
    runner.ready = state.report->ready_to_load;
    runner.long_runs = state.report->has_long_runs;
    runner.used = UsedShare(state);
  } else if (runner.answers && state.report && now - state.reported_at < kMaxUnheardLoad &&
             state.report->phase != WeightLoadPhase::kServing) {
    // Its reports are lost or late, and it may have started to load in the meantime.
    runner.phase = WeightLoadPhase::kLoading;
  }
  return runner;
}

bool LoadRollout::MayStartFinishing(const std::string& runner) const {
  const RolloutOrder order(*this, runner);
  int64_t ahead = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    const bool waiting = other.phase == WeightLoadPhase::kServing && other.answers &&
                         other.weights_version < version && order.Precedes(other);
    if (waiting || other.phase != WeightLoadPhase::kServing) ++ahead;
  }
  return ahead < LimitsFor(*this, order.self()).paused;
}

bool LoadRollout::ShouldWithdraw(const std::string& runner) const {
  const RolloutOrder order(*this, runner);
  if (!order.self().long_runs) return false;
  return std::any_of(runners.begin(), runners.end(), [&](const RolloutRunner& other) {
    return other.id != runner && other.phase == WeightLoadPhase::kServing && other.heard &&
           other.answers && other.weights_version < version && !other.long_runs;
  });
}

bool LoadRollout::MissesReports(const std::string& runner) const {
  const RolloutOrder order(*this, runner);
  int64_t others = 0;
  int64_t heard = 0;
  int64_t unheard_before = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    ++others;
    if (other.heard) {
      ++heard;
    } else if (order.Outranks(other)) {
      ++unheard_before;
    }
  }
  if (2 * heard >= others || Overdue(*this)) return false;
  return watched < kReportTimeout + kBlindLoadSpacing * unheard_before;
}

bool LoadRollout::MayStartLoading(const std::string& runner) const {
  if (MissesReports(runner)) return false;
  const RolloutOrder order(*this, runner);
  int64_t ahead = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    // Without an order, runners that become ready at the same time would exceed the limit.
    const bool precedes =
        other.phase == WeightLoadPhase::kFinishing && other.ready && order.Precedes(other);
    if (precedes || other.phase == WeightLoadPhase::kLoading) ++ahead;
  }
  return ahead < LimitsFor(*this, order.self()).loading;
}

bool LoadRollout::MayOrderLoad(const std::string& runner) const {
  const RolloutOrder order(*this, runner);
  int64_t ahead = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner || other.phase != WeightLoadPhase::kLoading) continue;
    // Runners that have not been ordered to load yet withdraw in favour of those before them.
    if (!other.ready || order.Precedes(other)) ++ahead;
  }
  return ahead < LimitsFor(*this, order.self()).loading;
}

LoadTurn::Step LoadTurn::AdvanceServing(const LoadRollout& rollout, const std::string& runner,
                                        TimePoint now) {
  for (const RolloutRunner& self : rollout.runners) {
    if (self.id != runner || long_runs_ == self.long_runs) continue;
    long_runs_ = self.long_runs;
    long_runs_since_ = now;
  }
  if (now - long_runs_since_ < kOrderNotice) return Step::kWait;
  if (!rollout.MayStartFinishing(runner)) return Step::kWait;
  phase_ = WeightLoadPhase::kFinishing;
  finishing_since_ = now;
  return Step::kAnnounceFinishing;
}

LoadTurn::Step LoadTurn::Advance(const LoadRollout& rollout, const std::string& runner,
                                 bool has_unrepeatable_runs, TimePoint now) {
  if (phase_ == WeightLoadPhase::kServing) return AdvanceServing(rollout, runner, now);
  const bool give_up = rollout.elapsed > rollout.window && now - finishing_since_ >= kFinishTimeout;
  const bool was_ready = ready_;
  // A gateway that had not heard of the phase may send a run late.
  ready_ = now - finishing_since_ > kPhaseChangeDelay && (!has_unrepeatable_runs || give_up);
  if (phase_ == WeightLoadPhase::kLoading) {
    if (ready_ && now - loading_since_ < kPhaseChangeDelay) return Step::kWait;
    if (ready_ && rollout.MayOrderLoad(runner)) {
      ready_ = false;
      return Step::kOrder;
    }
    phase_ = WeightLoadPhase::kFinishing;
    return Step::kAnnounceReady;
  }
  if (ready_ && rollout.MayStartLoading(runner)) {
    phase_ = WeightLoadPhase::kLoading;
    loading_since_ = now;
    return Step::kAnnounceLoading;
  }
  // A runner that had long runs at the start was chosen for want of others.
  if (!ready_ && !long_runs_.value_or(true) && rollout.ShouldWithdraw(runner)) {
    Reset();
    return Step::kAnnounceServing;
  }
  return ready_ != was_ready ? Step::kAnnounceReady : Step::kWait;
}

std::string_view Name(LoadTurn::Step step) { return kStepNames[static_cast<size_t>(step)]; }

}  // namespace fuchsiaweir
