#ifndef FUCHSIAWEIR_EXPERIMENT_WORKLOAD_H_
#define FUCHSIAWEIR_EXPERIMENT_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir::experiment {

constexpr int64_t kBlockTokens = 2000;
constexpr int64_t kPrefillTokensPerSecond = 8000;
constexpr int kTeamCount = 10;
constexpr int kLargeTeamCount = 3;

/// One virtual second stands for this many seconds of a return gap: three days become 432 s.
constexpr int64_t kGapCompression = 600;

/// A class of model requests or service calls in a deployment's mix.
struct RequestClass {
  std::string name;
  double share;  ///< Share of the first requests of sessions.
  int64_t min_prompt, max_prompt;
  int64_t min_output, max_output;
  double return_probability;  ///< Probability that a turn is followed by another.
  Duration ttft_deadline;
  bool service_call = false;
};

/// Fixed parameters of a deployment.
struct Deployment {
  std::string name;
  std::vector<std::string> data_centres;
  int runners;          ///< Language-model runners, assigned to the data centres in turn.
  int service_runners;  ///< Booking runners, assigned in the same way.
  int stores;
  Duration one_way_delay, client_one_way_delay;
  std::vector<RequestClass> classes;
  double peak_load;  ///< Prompt tokens at peak / prefill capacity, without reuse.
};

/// One request of the trace. The trace does not depend on the policy.
struct Request {
  TimePoint arrival;
  int team = 0;
  int class_index = 0;
  uint64_t session = 0;
  uint64_t shared_prefix = 0;  ///< Id of the first `shared_blocks` blocks.
  int shared_blocks = 0;
  int turn = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /// Tokens of the leading complete blocks that an earlier request computed.
  int64_t reusable_tokens = 0;
  TimePoint next_return = TimePoint::max();  ///< Only for the oracle.
  bool flood = false;
  bool service_call = false;
  Duration ttft_deadline{};

  int complete_blocks() const { return static_cast<int>(prompt_tokens / kBlockTokens); }
};

/// Extra requests that a scenario adds to the trace in [start, end).
struct Surge {
  enum class Type { kNone, kHotPrefix, kFlood } type = Type::kNone;
  double start = 0, end = 0;  ///< Fractions of the run.
};

const std::vector<Deployment>& Deployments();

/// Virtual length of a run with about `requests` requests.
Duration RunLength(const Deployment& deployment, int64_t requests);

/// Generates the trace for a seed, ordered by arrival.
std::vector<Request> GenerateTrace(const Deployment& deployment, const Surge& surge,
                                   int64_t requests, uint64_t seed);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_WORKLOAD_H_
