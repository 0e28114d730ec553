#ifndef FUCHSIAWEIR_CORE_COLD_START_GATE_H_
#define FUCHSIAWEIR_CORE_COLD_START_GATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// Bounds of one runner's concurrent runs, from the inventory.
struct GateLimits {
  int64_t cold_limit = 1;
  int64_t max_concurrent = 16;
  Duration healthy_token_time = Millis(46);  ///< Longest healthy time between tokens.
  int64_t warm_up_runs = 0;                  ///< Healthy runs that end a cold start.
};

/// What an engine reports about itself. Reports arrive with a lag.
struct LoadReport {
  int64_t running = 0;     ///< Runs in the engine's batch.
  int64_t waiting = 0;     ///< Runs in the engine's own queue.
  Duration token_time{0};  ///< Recent time between tokens; zero when the engine is idle.
};

/// Proof of an admitted run; returned to the gate once when the run ends.
struct Admission {
  uint64_t generation = 0;  ///< Cold start in which the run was admitted.
};

/// How an admitted run ended.
struct RunEnd {
  bool completed = false;
  Duration token_time{0};  ///< Mean time between tokens.
};

/// Limits the concurrent runs of one runner. A new gate is cold, and so is a runner after an agent
/// restart. Only runs that complete at healthy latency raise the limit.
class ColdStartGate {
 public:
  explicit ColdStartGate(const GateLimits& limits);

  /// Changes the bounds; a lower maximum applies to the next admission.
  void SetLimits(const GateLimits& limits);

  /// Notes the engine's instance id. A changed id drops the gate to the cold limit.
  void OnEngineInstance(const std::string& instance);

  /// Notes a load report. Load that this gate did not admit, or slow tokens, drop the gate.
  void OnLoadReport(const LoadReport& report);

  /// Drops to the cold limit at once.
  void ResetToCold();

  /// Admits one run, or returns nothing when the runner is at its limit.
  std::optional<Admission> TryAdmit();

  /// Ends an admitted run.
  void OnRunEnd(const Admission& admission, const RunEnd& end);

  int64_t limit() const { return limit_; }
  int64_t running() const { return running_; }
  /// Runs in the engine that this gate did not admit, for example those of a former agent.
  int64_t external_runs() const { return foreign_; }
  bool HasCapacity() const { return running_ + foreign_ < limit_; }
  bool cold() const { return limit_ <= limits_.cold_limit; }

 private:
  GateLimits limits_;
  std::string instance_;
  uint64_t generation_ = 0;
  int64_t limit_;
  int64_t healthy_runs_ = 0;  ///< Completed in this cold start.
  int64_t running_ = 0;
  int64_t foreign_ = 0;
  int64_t peak_ = 0;           ///< Highest `running_` since the last report.
  int64_t previous_peak_ = 0;  ///< The same for the interval before.
  int64_t low_ = 0;            ///< Lowest `running_` since the last report.
  int64_t previous_low_ = 0;   ///< The same for the interval before.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_COLD_START_GATE_H_
