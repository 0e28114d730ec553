#ifndef FUCHSIAWEIR_CORE_FETCH_PLAN_H_
#define FUCHSIAWEIR_CORE_FETCH_PLAN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Sentinel duration of an event that is not expected to happen.
constexpr Duration kNever = Seconds(1'000'000'000);

/// Location of the KV cache of a run of blocks.
enum class BlockSource { kResident, kRemote, kMissing };

/// Consecutive blocks of a prompt that share a source. Tokens after the last complete block form a
/// final kMissing run.
struct BlockRun {
  BlockSource source = BlockSource::kMissing;
  int64_t tokens = 0;
  int64_t bytes = 0;  ///< Size of the transfer; kRemote only.
  size_t link = 0;    ///< Index of the link to the store; kRemote only.
};

/// State of the network path to one store.
struct LinkState {
  int64_t queued_bytes = 0;     ///< Queued ahead of a new fetch.
  double bytes_per_second = 0;  ///< Estimated throughput; 0 when the link is down.
  Duration latency{0};
};

/// Load and speed of the runner's prefill.
struct PrefillState {
  int64_t backlog_tokens = 0;    ///< Queued ahead of this prompt.
  double tokens_per_second = 0;  ///< 0 when unknown; recomputation is then never planned.
};

enum class RunAction {
  kUse,        ///< Use the resident blocks.
  kFetch,      ///< Wait for the fetch until `RunPlan::prefill_start`.
  kRecompute,  ///< Prefill without a fetch.
  kRace,       ///< Fetch and prefill at the same time; the first to complete is used.
};

/// Returns the name of the action in logs and metrics, for example "fetch".
std::string_view Name(RunAction action);

/// Planned action for one run. Times are relative to the time of planning.
struct RunPlan {
  RunAction action = RunAction::kRecompute;
  Duration arrival = kNever;  ///< Expected end of the fetch.
  /// Time at which prefill of the run starts if its blocks have not arrived; kNever for kUse. For
  /// kFetch, `FetchPlan::wait` after prefill would reach this run without any fetch.
  Duration prefill_start = kNever;
  Duration ready{0};  ///< Expected time at which the KV cache is complete through this run.
};

struct FetchPlan {
  std::vector<RunPlan> runs;     ///< One per input run, in the same order.
  Duration finish{0};            ///< Expected end of prefill; at most `recompute_finish`.
  Duration recompute_finish{0};  ///< End of prefill without any fetch.
  Duration wait{0};              ///< Maximum time that an idle runner waits for fetches.
  int64_t recomputed_tokens = 0;
  int64_t fetched_bytes = 0;
  bool meets_deadline = false;
};

/// Selects an action for each run. `remaining` is the time until the request's prefill deadline.
/// Even if every fetch fails, a caller that follows the plan finishes prefill at most `wait` after
/// `recompute_finish`, and `wait` is a quarter of the prompt's prefill time.
FetchPlan PlanFetch(const std::vector<BlockRun>& runs, const std::vector<LinkState>& links,
                    const PrefillState& prefill, Duration remaining);

/// Progress of a fetch and of the prefill that competes with it.
struct FetchProgress {
  int64_t bytes_left = 0;           ///< Including transfers queued ahead on the link.
  double bytes_per_second = 0;      ///< Current throughput estimate of the link.
  Duration prefill_left{0};         ///< Remaining prefill time of the run.
  Duration runner_available_in{0};  ///< Time until the runner can start or continue this run.
  Duration prefill_start{0};        ///< `RunPlan::prefill_start` relative to now; may be negative.
};

enum class FetchVerdict {
  kWait,  ///< Keep waiting for the blocks.
  kRace,  ///< Start or continue prefill while the fetch goes on.
  kStop,  ///< Cancel the fetch and recompute.
};

/// Compares the expected arrival of a fetch with the expected end of prefill of the same run.
FetchVerdict EvaluateFetch(const FetchProgress& progress);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FETCH_PLAN_H_
