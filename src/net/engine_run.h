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

/// What the configuration says about a run.
struct RunTerms {
  Model model;
  int64_t team_weight = 1;
  Duration event_timeout{Seconds(5)};  ///< Longest pause between two events of the engine.
};

/// A run that this agent has accepted.
struct AcceptedRun {
  RunAttempt id;
  std::string key;  ///< Name of the attempt at the engine.
  RunRequest request;
  RunTerms terms;
  TimePoint due;           ///< When the first token is due.
  int64_t new_tokens = 0;  ///< Prompt tokens to compute, as estimated at admission.
  Admission admission;
  bool on_engine = false;  ///< The engine may be running it.
  bool prefilling = false;
  bool stopped = false;  ///< Nobody waits for it any more.
};

/// What a run needs while it is on the engine. The references outlive it.
struct EngineRunContext {
  Runner runner;
  std::shared_ptr<EngineClient> engine;
  std::shared_ptr<EngineMonitor> monitor;
  RunBuffers& buffers;
  BlockTransfer* transfer = nullptr;     ///< Null: no blocks are moved.
  int64_t backlog_tokens = 0;            ///< Prompt tokens that the engine computes before.
  std::function<void()> on_first_token;  ///< The prefill has ended.
};

/// How a run on the engine ended.
struct EngineRunEnd {
  RunEnd end;
  bool settled = true;  ///< The engine holds nothing of the run any more.
  BlockDemand blocks;   ///< What the engine computed; to be retained when the run completed.
  uint64_t epoch = 0;   ///< Of the engine while it computed the blocks.
};

/// Fetches the run's blocks, runs it on the engine and puts its output into the buffers.
Awaitable<EngineRunEnd> RunOnEngine(EngineRunContext context, std::shared_ptr<AcceptedRun> run);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENGINE_RUN_H_
