#ifndef FUCHSIAWEIR_CORE_FETCH_PLAN_H_
#define FUCHSIAWEIR_CORE_FETCH_PLAN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Stands for an event that is not expected to happen.
constexpr Duration kNever = Seconds(1'000'000'000);

/// Where the KV of a run of blocks is.
enum class BlockSource { kResident, kRemote, kMissing };

/// Consecutive blocks of a prompt with one source. Tokens after the last whole block form a
/// kMissing run at the end.
struct BlockRun {
  BlockSource source = BlockSource::kMissing;
  int64_t tokens = 0;
  int64_t bytes = 0;  ///< To fetch when remote.
  size_t link = 0;    ///< Index of the link to the store when remote.
};

/// The path to one store.
struct LinkState {
  int64_t queued_bytes = 0;     ///< Transferred before a new fetch.
  double bytes_per_second = 0;  ///< Estimated rate; 0 when the link is dead.
  Duration latency{0};
};

/// The runner's prefill.
struct PrefillState {
  int64_t backlog_tokens = 0;    ///< Computed before this prompt.
  double tokens_per_second = 0;  ///< 0 when unknown: nothing can be recomputed.
};

enum class RunAction { kUse, kFetch, kRecompute, kRace };

/// Returns the action's name for logs and metrics, for example "fetch".
std::string_view Name(RunAction action);

/// What to do with one run. Times count from the moment of planning.
struct RunPlan {
  RunAction action = RunAction::kRecompute;
  Duration arrival = kNever;  ///< Expected end of the fetch.
  /// When prefill of the run starts unless its blocks have arrived; kNever for kUse. For kFetch
  /// this is `FetchPlan::wait` after recomputing the whole prompt would have started with this run.
  Duration prefill_start = kNever;
  Duration ready{0};  ///< When the prompt is expected to be done up to the end of the run.
};

struct FetchPlan {
  std::vector<RunPlan> runs;     ///< One for each run of the input.
  Duration finish{0};            ///< Expected end of prefill; at most `recompute_finish`.
  Duration recompute_finish{0};  ///< End of prefill without any fetch.
  Duration wait{0};              ///< Longest time that an idle runner waits for fetches.
  int64_t recomputed_tokens = 0;
  int64_t fetched_bytes = 0;
  bool meets_deadline = false;
};

/// Chooses the action for each run. `remaining` is the time to the request's deadline for the end
/// of prefill. Also when every fetch fails, a caller that follows the plan finishes by
/// `recompute_finish + wait`, and `wait` is a quarter of the prompt's prefill time.
FetchPlan PlanFetch(const std::vector<BlockRun>& runs, const std::vector<LinkState>& links,
                    const PrefillState& prefill, Duration remaining);

/// A fetch under way.
struct FetchProgress {
  int64_t bytes_left = 0;       ///< Including what the link transfers before it.
  double bytes_per_second = 0;  ///< Current estimate for the link.
  Duration prefill_left{0};     ///< Prefill time left of the run, the whole when not yet started.
  Duration runner_available_in{0};  ///< Time until the runner can start or continue this run.
  Duration prefill_start{0};        ///< `RunPlan::prefill_start` counted from now; may be negative.
};

enum class FetchVerdict {
  kWait,  ///< Keep waiting for the blocks.
  kRace,  ///< Start or continue prefill and keep the fetch.
  kStop,  ///< Cancel the fetch and recompute.
};

/// Decides whether a fetch is late.
FetchVerdict EvaluateFetch(const FetchProgress& progress);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FETCH_PLAN_H_
