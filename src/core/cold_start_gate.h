#ifndef FUCHSIAWEIR_CORE_COLD_START_GATE_H_
#define FUCHSIAWEIR_CORE_COLD_START_GATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits of one runner's concurrent runs, from the inventory.
struct GateLimits {
  int64_t cold_limit = 1;  ///< Concurrent runs of a cold runner.
  int64_t max_concurrent = 16;
  Duration healthy_token_time = Millis(46);  ///< Maximum healthy time between tokens.
  int64_t warm_up_runs = 0;                  ///< Healthy runs before the limit rises.
};

/// An engine's load report. It describes the engine's state of a short time ago.
struct LoadReport {
  int64_t running = 0;     ///< Runs in the engine's batch.
  int64_t waiting = 0;     ///< Runs in the engine's own queue.
  Duration token_time{0};  ///< Recent time between tokens; zero if the engine is idle.
};

/// Token of an admitted run; passed back to the gate exactly once, when the run ends.
struct Admission {
  uint64_t generation = 0;  ///< Counts the gate's resets to the cold limit.
};

/// Result of an admitted run.
struct RunEnd {
  bool completed = false;
  Duration token_time{0};  ///< Mean time between tokens.
};

/// Adaptive limit of the concurrent runs of one runner. A new gate is cold, so a restarted agent
/// treats its runner as cold. Only runs that complete at healthy latency raise the limit.
class ColdStartGate {
 public:
  explicit ColdStartGate(const GateLimits& limits);

  /// Changes the limits; a lower maximum applies from the next admission on.
  void SetLimits(const GateLimits& limits);

  /// Applies the engine's instance id. A changed id resets the gate to the cold limit.
  void OnEngineInstance(const std::string& instance);

  /// Applies a load report. A jump of load that this gate did not admit, or a high time between
  /// tokens, resets the gate to the cold limit.
  void OnLoadReport(const LoadReport& report);

  /// Resets to the cold limit.
  void ResetToCold();

  /// Admits one run, or returns nothing if the runner is at its limit.
  std::optional<Admission> TryAdmit();

  /// Ends an admitted run.
  void OnRunEnd(const Admission& admission, const RunEnd& end);

  int64_t limit() const { return limit_; }
  int64_t running() const { return running_; }
  /// Runs in the engine that this gate did not admit, such as those of a former agent process.
  int64_t external_runs() const { return external_runs_; }
  bool HasCapacity() const { return running_ + external_runs_ < limit_; }
  bool cold() const { return limit_ <= limits_.cold_limit; }

 private:
  GateLimits limits_;
  std::string instance_;
  uint64_t generation_ = 0;
  int64_t limit_;
  int64_t healthy_runs_ = 0;  ///< Since the last reset.
  int64_t running_ = 0;
  int64_t external_runs_ = 0;
  int64_t max_running_ = 0;           ///< Maximum of `running_` since the last report.
  int64_t previous_max_running_ = 0;  ///< Maximum in the previous report interval.
  int64_t min_running_ = 0;           ///< Minimum of `running_` since the last report.
  int64_t previous_min_running_ = 0;  ///< Minimum in the previous report interval.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_COLD_START_GATE_H_
