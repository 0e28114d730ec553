#ifndef FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_
#define FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_

#include <cstdint>
#include <string>
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
};

/// Returns the runner as described by the last messages of its sidecar.
RolloutRunner DescribeRunner(const std::string& id, const RunnerState& state, TimePoint now);

/// Decides when a runner of a service loads new weights. All processes compute the same order of
/// runners by rendezvous hashing, without further coordination.
///
/// Load pattern: the operator names new weights under full traffic, and again before the previous
/// ones are loaded everywhere. A runner that only waited for its runs to finish before it loads
/// would serve nothing for seconds. It therefore first accepts only runs that can be continued on
/// another runner (WeightLoadPhase::kFinishing), and is unavailable just for the load itself. The
/// number of concurrent loads is limited; the limit is raised only once `elapsed` exceeds `window`.
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
  bool MayStartLoading(const std::string& runner) const;

 private:
  /// Whether the runner waits for the reports of others, or for its turn without them.
  bool MissesReports(const std::string& runner) const;
};

/// Delay between a phase change that is reported to the gateways and the next step, so that few
/// requests reach a loading runner.
inline constexpr Duration kPhaseChangeDelay = Millis(150);

/// Progress of one runner towards its load, as decided and announced by its sidecar.
class LoadTurn {
 public:
  /// What the sidecar has to do after a call of `Advance`.
  enum class Step {
    kWait,
    kAnnounceFinishing,
    kOrder,  ///< Order the load after `kPhaseChangeDelay`.
  };

  /// Phase that the sidecar announces if it is later than the one in the runner's report.
  WeightLoadPhase phase() const { return phase_; }
  Step Advance(const LoadRollout& rollout, const std::string& runner, int64_t unrepeatable_runs,
               TimePoint now);
  /// Starts anew after an order, or while no newer weights are named.
  void Reset() { *this = LoadTurn(); }

 private:
  WeightLoadPhase phase_ = WeightLoadPhase::kServing;
  TimePoint finishing_since_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_
