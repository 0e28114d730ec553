#ifndef FUCHSIAWEIR_CORE_RUNNER_RECORD_H_
#define FUCHSIAWEIR_CORE_RUNNER_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// The record that a runner publishes in the list of runners.
struct RunnerRecord {
  std::string id;  ///< Changes on most restarts, not on all; see `started_ms`.
  std::string service;
  std::string version;  ///< Of the software that the runner runs; may be empty.
  std::string address;
  uint16_t port = 0;
  std::string data_centre;
  int64_t slots = 0;
  bool draining = false;
  Duration cold_left{0};   ///< Remaining time in which the runner is cold.
  int64_t sequence = 0;    ///< Increases with each record that the runner publishes.
  int64_t started_ms = 0;  ///< Unix time of its start; identifies restarts under the same id.
  std::string model;       ///< Empty for plain services.
  int64_t weights_version = 0;
};

/// Phase of a runner's weight load.
enum class WeightLoadPhase {
  kServing,
  kFinishing,  ///< Accepts only requests that another runner may continue.
  kLoading,    ///< Accepts no requests.
};

/// Progress of one run at an engine.
struct RunProgress {
  uint64_t id_hash = 0;  ///< Of the request's id.
  int64_t events = 0;    ///< Generated so far; 0 while the prompt is read.
};

/// A model engine's report of its load.
struct EngineReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t memory_used = 0;  ///< Tokens that cannot be evicted.
  int64_t memory_total = 0;
  int64_t accepted_orders = 0;                 ///< Weight orders accepted since the start.
  std::vector<std::string> unrepeatable_runs;  ///< Ids of runs that no other runner may continue.
  WeightLoadPhase phase = WeightLoadPhase::kServing;
  bool ready_to_load = false;  ///< Set by the sidecar; see `LoadTurn::ready`.
  bool has_long_runs = false;  ///< Set by the sidecar; see `kLongRun`.
  int64_t started_ms = 0;
  int64_t runner_time_ms = 0;  ///< The runner's clock at the time of the report.
  std::string model;
  int64_t weights_version = 0;
  /// Current time per generated event of a run, as the sidecar measured it; zero: not measured.
  Duration pace{0};
  int64_t reading = 0;  ///< Runs that have generated nothing yet: their prompts are being read.
  std::vector<RunProgress> runs;  ///< By `id_hash`; only at the sidecar, not in its messages.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_RECORD_H_
