#ifndef FUCHSIAWEIR_NET_ENGINE_RUN_H_
#define FUCHSIAWEIR_NET_ENGINE_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/cold_start_gate.h"
#include "core/inventory.h"
#include "core/run_message.h"
#include "core/run_table.h"
#include "net/block_transfer.h"
#include "net/engine_client.h"
#include "net/engine_monitor.h"
#include "net/run_buffers.h"

namespace fuchsiaweir {

/// Configuration that applies to a run.
struct RunTerms {
  Model model;
  int64_t team_weight = 1;
  Duration event_timeout{Seconds(5)};  ///< Maximum time between two events of the engine.
};

/// A run that this agent has accepted.
struct AcceptedRun {
  RunAttempt id;
  std::string key;  ///< Id of the attempt on the engine.
  RunRequest request;
  RunTerms terms;
  TimePoint first_token_deadline;
  int64_t tokens_to_prefill = 0;  ///< Estimated at admission.
  Admission admission;
  bool on_engine = false;  ///< The engine may be executing it.
  bool prefilling = false;
  bool cancelled = false;  ///< It has no caller any more.
};

/// Dependencies of a run on the engine. The referenced objects outlive the run.
struct EngineRunContext {
  Runner runner;
  std::shared_ptr<EngineClient> engine;
  std::shared_ptr<EngineMonitor> monitor;
  RunBuffers& buffers;
  BlockTransfer* transfer = nullptr;     ///< Null if block transfer is disabled.
  int64_t backlog_tokens = 0;            ///< Prompt tokens in prefill ahead of this run.
  std::function<void()> on_first_token;  ///< Called when the prefill has ended.
};

/// Result of a run on the engine.
struct EngineRunResult {
  RunEnd end;
  bool released = true;  ///< The engine is known to hold no resources of the run.
  BlockDemand blocks;    ///< Computed blocks, to be retained if the run completed.
  uint64_t epoch = 0;    ///< Engine epoch in which the blocks were computed.
};

/// Fetches the run's blocks, executes the run on the engine and appends its output to the buffers.
Awaitable<EngineRunResult> RunOnEngine(EngineRunContext context, std::shared_ptr<AcceptedRun> run);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENGINE_RUN_H_
