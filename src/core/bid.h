#ifndef FUCHSIAWEIR_CORE_BID_H_
#define FUCHSIAWEIR_CORE_BID_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// Request from an entry to an agent for its runners' estimated times to first token of a prompt.
struct BidRequest {
  std::string team;
  std::string model;
  std::vector<std::string> blocks;  ///< Block ids of the prompt in hex, from its start.
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  int64_t priority = 1;
  int64_t deadline_ms = 0;  ///< Remaining time until the caller's deadline.

  bool operator==(const BidRequest&) const = default;
};

/// Estimate of one runner for a prompt.
struct Bid {
  std::string runner;
  Duration estimate{0};   ///< Time to first token.
  int64_t resident = 0;   ///< Leading blocks of the prompt in accelerator memory.
  int64_t fetchable = 0;  ///< Next blocks, if fetching them is faster than computing them.
  int64_t queue = 0;      ///< Requests in the runner's queue.

  bool operator==(const Bid&) const = default;
};

/// State of a runner from which the agent computes its bid.
struct RunnerLoad {
  std::string runner;
  std::string model;
  bool in_service = true;
  int64_t queue_items = 0;
  int64_t max_queue = 256;
  int64_t queue_tokens = 0;       ///< Prompt tokens queued or being computed.
  int64_t limit = 1;              ///< Current limit of the cold-start gate.
  int64_t running = 0;            ///< Runs that count against the limit.
  int64_t decode_slots = 16;      ///< Maximum batch size of the engine.
  Duration mean_run{Seconds(1)};  ///< Mean duration of recent runs.
  int64_t prefill_tokens_per_second = 8000;
  int64_t block_tokens = 2000;
  int64_t block_bytes = 32'000;
  int64_t resident_blocks = 0;   ///< Leading blocks of this prompt in accelerator memory.
  int64_t fetchable_blocks = 0;  ///< Next blocks, in the memory tier or a store.
  int64_t link_queue_bytes = 0;  ///< Bytes queued for the link to the stores.
  int64_t link_bytes_per_second = 1'000'000'000;
};

/// Estimates the time to first token, or returns the reason for a refusal, with run state not_run.
Result<Bid> MakeBid(const BidRequest& request, const RunnerLoad& load);

/// JSON bodies of `POST /internal/v1/bids`. A refusal is `{"error":{...}}`. Estimates are
/// fractional milliseconds. Malformed input yields kBadRequest (request) or kIncompleteAnswer
/// (response), both with not_run, because a bid request runs nothing.
std::string EncodeBidRequest(const BidRequest& request);
Result<BidRequest> DecodeBidRequest(std::string_view body);
std::string EncodeBidResponse(const Result<std::vector<Bid>>& answer);
Result<std::vector<Bid>> DecodeBidResponse(std::string_view body);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BID_H_
