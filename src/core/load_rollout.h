#ifndef FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_
#define FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/runner_record.h"
#include "core/runner_registry.h"

namespace fuchsiaweir {

/// A runner of the service whose weights are updated.
struct RolloutRunner {
  std::string id;
  int64_t weights_version = 0;
  WeightLoadPhase phase = WeightLoadPhase::kServing;
  /// Whether the phase is from a recent report, or the runner is known not to answer.
  bool heard = true;
  /// In phase kFinishing: waits only for its turn. In phase kLoading: the order is not sent yet.
  bool ready = false;
  bool long_runs = false;  ///< Has runs that will probably delay its load.
  bool answers = true;     ///< False if the runner is known not to answer its sidecar.
  Duration lag{0};         ///< Time since weights newer than its own were named.
  double used = 0;         ///< Used share of its slots or memory, whichever is larger.
};

/// Returns the runner as described by the last messages of its sidecar.
RolloutRunner DescribeRunner(const std::string& id, const RunnerState& state, TimePoint now);

/// Decides when a runner of a service loads new weights. All processes compute the same order of
/// runners (those near their deadline first, then those without long runs, then those with the
/// oldest weights, then by rendezvous hashing), without further coordination.
///
/// Load pattern: the operator names new weights under full traffic, and again before the previous
/// ones are loaded everywhere. A runner that only waited for its runs to finish before it loads
/// would serve nothing for seconds. It therefore first accepts only runs that can be continued on
/// another runner (WeightLoadPhase::kFinishing), and is unavailable just for the load itself.
/// Runs end at very different times, so runners load in the order in which they are ready, and
/// those with long runs finish their runs last. Two numbers are limited: that of concurrent loads,
/// and that of runners that do not accept all kinds of runs. The limits are raised only if the
/// rollout would otherwise end too late.
///
/// Two runners that decide at the same time do not know of each other's decision. A load is
/// therefore first announced and ordered after `kPhaseChangeDelay`, if the limit still allows it.
///
/// Processes that have just started do not hear each other. While less than half of the other
/// runners are heard, a runner waits, and then the runners load one after the other by time.
struct LoadRollout {
  std::vector<RolloutRunner> runners;
  int64_t version = 0;
  Duration elapsed{0};  ///< Time since the weights were named.
  Duration window{0};   ///< Target duration of the whole rollout.
  Duration watched{0};  ///< Time since this process learned of the weights.

  /// Whether the runner may stop accepting runs that cannot be continued on another runner.
  bool MayStartFinishing(const std::string& runner) const;
  /// Whether a runner that turned out to have long runs should accept all runs again, because
  /// another one that will probably be ready earlier waits.
  bool ShouldWithdraw(const std::string& runner) const;
  /// Whether a runner that is ready to load may announce that it does.
  bool MayStartLoading(const std::string& runner) const;
  /// Whether a runner that has announced its load may be ordered to load.
  bool MayOrderLoad(const std::string& runner) const;

 private:
  /// Whether the runner waits for the reports of others, or for its turn without them.
  bool MissesReports(const std::string& runner) const;
};

/// Delay between a phase change that is reported to the gateways and the next step, so that few
/// requests reach a loading runner.
inline constexpr Duration kPhaseChangeDelay = Millis(150);

/// Age from which a run that no other runner may continue counts as long: nearly twice the median
/// length. A run that has outlasted most others probably lasts much longer.
inline constexpr Duration kLongRun = Millis(700);

/// Progress of one runner towards its load, as decided and announced by its sidecar.
class LoadTurn {
 public:
  /// What the sidecar has to do after a call of `Advance`.
  enum class Step {
    kWait,
    kAnnounceServing,
    kAnnounceFinishing,
    kAnnounceReady,
    kAnnounceLoading,
    kOrder,
  };

  /// Phase that the sidecar announces if it is later than the one in the runner's report.
  WeightLoadPhase phase() const { return phase_; }
  /// Whether the runner is ready to load and the order is not sent yet.
  bool ready() const { return ready_; }
  /// Each step but kWait has to be announced at once.
  Step Advance(const LoadRollout& rollout, const std::string& runner, bool has_unrepeatable_runs,
               TimePoint now);
  /// Starts anew after an order, or while no newer weights are named.
  void Reset() { *this = LoadTurn(); }

 private:
  Step AdvanceServing(const LoadRollout& rollout, const std::string& runner, TimePoint now);

  WeightLoadPhase phase_ = WeightLoadPhase::kServing;
  bool ready_ = false;
  TimePoint finishing_since_;
  TimePoint loading_since_;
  std::optional<bool> long_runs_;  ///< As announced for the runner.
  TimePoint long_runs_since_;
};

/// Returns the step's name in metrics.
std::string_view Name(LoadTurn::Step step);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_
