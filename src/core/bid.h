#ifndef FUCHSIAWEIR_CORE_BID_H_
#define FUCHSIAWEIR_CORE_BID_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// Question of an entry to an agent: how soon could its runners serve this prompt?
struct BidRequest {
  std::string team;
  std::string model;
  std::vector<std::string> blocks;  ///< Block ids of the prompt in hex, from its start.
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  int64_t priority = 1;
  int64_t deadline_ms = 0;  ///< Time left until the caller's deadline.

  bool operator==(const BidRequest&) const = default;
};

/// One runner's estimate.
struct Bid {
  std::string runner;
  Duration estimate{0};   ///< Time to first token.
  int64_t resident = 0;   ///< Leading blocks of the prompt in accelerator memory.
  int64_t fetchable = 0;  ///< Blocks after them that a fetch brings sooner than computing them.
  int64_t queue = 0;      ///< Runs that wait for this runner.

  bool operator==(const Bid&) const = default;
};

/// What the agent knows about a runner when it bids.
struct RunnerLoad {
  std::string runner;
  std::string model;
  bool in_service = true;
  int64_t queue_items = 0;
  int64_t max_queue = 256;
  int64_t queue_tokens = 0;       ///< Prompt tokens that are queued or being computed.
  int64_t limit = 1;              ///< Limit of the cold-start gate.
  int64_t running = 0;            ///< Runs that count against the limit.
  int64_t decode_slots = 16;      ///< Concurrent runs that the engine's batch holds.
  Duration mean_run{Seconds(1)};  ///< Mean length of recent runs.
  int64_t prefill_tokens_per_second = 8000;
  int64_t block_tokens = 2000;
  int64_t block_bytes = 32'000;
  int64_t resident_blocks = 0;   ///< Leading blocks of this prompt in accelerator memory.
  int64_t fetchable_blocks = 0;  ///< Blocks after them that the memory tier or a store holds.
  int64_t link_queue_bytes = 0;  ///< Bytes that wait for the link to the stores.
  int64_t link_bytes_per_second = 1'000'000'000;
};

/// Estimates the time to first token, or refuses with the reason and run state not_run.
Result<Bid> MakeBid(const BidRequest& request, const RunnerLoad& load);

/// JSON bodies of `POST /internal/v1/bids`. A refusal is `{"error":{...}}`. Estimates are
/// milliseconds with fractions. Malformed input gives kBadRequest (request) or kIncompleteAnswer
/// (answer); both are not_run, because asking for a bid runs nothing.
std::string EncodeBidRequest(const BidRequest& request);
Result<BidRequest> DecodeBidRequest(std::string_view body);
std::string EncodeBidResponse(const Result<std::vector<Bid>>& answer);
Result<std::vector<Bid>> DecodeBidResponse(std::string_view body);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BID_H_
