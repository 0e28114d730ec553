#ifndef FUCHSIAWEIR_CORE_RUNNER_RECORD_H_
#define FUCHSIAWEIR_CORE_RUNNER_RECORD_H_

#include <cstdint>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// A runner's own entry in the list of runners.
struct RunnerRecord {
  std::string id;  ///< Changes with most starts; see `started_ms`.
  std::string service;
  std::string address;
  uint16_t port = 0;
  std::string data_centre;
  int64_t slots = 0;
  bool draining = false;
  Duration cold_left{0};
  int64_t sequence = 0;    ///< Increases with each report of the runner.
  int64_t started_ms = 0;  ///< Unix time of its start; differs although the id is the same.
  std::string model;       ///< Empty for plain services.
  int64_t weights_version = 0;
};

/// How far a runner is on its way to new weights.
enum class WeightLoadPhase {
  kServing,
  kFinishing,  ///< Takes only work that can go on at another runner.
  kLoading,    ///< Takes nothing.
};

/// What a model engine says about its load. Fresh where it was asked on its own host.
struct EngineReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t memory_used = 0;  ///< Tokens that cannot be evicted.
  int64_t memory_total = 0;
  int64_t orders = 0;             ///< Orders accepted since the start.
  int64_t unrepeatable_runs = 0;  ///< Runs that cannot go on at another runner.
  WeightLoadPhase phase = WeightLoadPhase::kServing;
  int64_t started_ms = 0;
  int64_t runner_time_ms = 0;  ///< The runner's clock when it made the report.
  std::string model;
  int64_t weights_version = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_RECORD_H_
