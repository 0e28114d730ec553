#ifndef FUCHSIAWEIR_EXPERIMENT_WORKLOAD_H_
#define FUCHSIAWEIR_EXPERIMENT_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir::experiment {

constexpr int64_t kBlockTokens = 2000;
constexpr int64_t kPrefillTokensPerSecond = 8000;
constexpr int kTeams = 10;
constexpr int kLargeTeams = 3;

/// Virtual seconds stand for this many seconds of return gaps: three days become 432 s.
constexpr int64_t kGapCompression = 600;

/// A class of prompts or plain calls in a deployment's mix.
struct RequestKind {
  std::string name;
  double share;  ///< Of all first requests.
  int64_t min_prompt, max_prompt;
  int64_t min_output, max_output;
  double return_probability;  ///< That another turn follows a turn.
  Duration ttft_deadline;
  bool plain_call = false;
};

/// The fixed shape of a deployment.
struct Deployment {
  std::string name;
  std::vector<std::string> data_centres;
  int runners;          ///< Language-model runners, spread over the data centres in turn.
  int service_runners;  ///< Booking runners, spread in the same way.
  int stores;
  Duration one_way, client_one_way;
  std::vector<RequestKind> kinds;
  double peak_load;  ///< Prompt tokens at peak / prefill capacity, if all were recomputed.
};

/// One request of the trace. The trace does not depend on the policy.
struct Request {
  TimePoint arrival;
  int team = 0;
  int kind = 0;
  uint64_t session = 0;
  uint64_t shared_prefix = 0;  ///< Identity of the first `shared_blocks` blocks.
  int shared_blocks = 0;
  int turn = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t known_tokens = 0;  ///< Leading whole blocks that an earlier request computed.
  TimePoint next_return = TimePoint::max();  ///< Known to the oracle alone.
  bool flood = false;
  bool plain_call = false;
  Duration ttft_deadline{};

  int whole_blocks() const { return static_cast<int>(prompt_tokens / kBlockTokens); }
};

/// Extra requests that a scenario adds to the trace in [from, to).
struct Surge {
  enum class Kind { kNone, kHotPrefix, kFlood } kind = Kind::kNone;
  double from = 0, to = 0;  ///< Fractions of the run.
};

const std::vector<Deployment>& Deployments();

/// Virtual length of a run with about `requests` requests.
Duration RunLength(const Deployment& deployment, int64_t requests);

/// Draws the trace for a seed, ordered by arrival.
std::vector<Request> DrawTrace(const Deployment& deployment, const Surge& surge, int64_t requests,
                               uint64_t seed);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_WORKLOAD_H_
