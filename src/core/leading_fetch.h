#ifndef FUCHSIAWEIR_CORE_LEADING_FETCH_H_
#define FUCHSIAWEIR_CORE_LEADING_FETCH_H_

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "core/fetch_plan.h"

namespace fuchsiaweir {

/// Stored copy of a prompt block that can be fetched.
struct BlockCopy {
  int64_t bytes = 0;
  size_t link = 0;  ///< Index of the link to the store.
};

/// Remainder of a prompt, from its first non-resident block.
struct LeadingFetchRequest {
  std::vector<BlockCopy> copies;  ///< Copies of the leading blocks, in prompt order.
  int64_t block_tokens = 0;
  int64_t rest_tokens = 0;  ///< Tokens after the blocks in `copies`.
};

/// Number of leading blocks to fetch before the prompt starts, and the wait for them.
struct LeadingFetch {
  size_t blocks = 0;
  Duration arrival{0};     ///< Expected end of the fetch.
  Duration wait_limit{0};  ///< Maximum delay before the prompt starts without the blocks.
};

/// Selects the number of leading blocks to fetch so that prefill finishes earliest.
///
/// An engine looks up the blocks of a prompt once, when the prompt starts, and uses the resident
/// prefix. Blocks that arrive later are not used, so a plan cannot compute the first blocks while
/// it fetches the later ones, as `PlanFetch` does. To bound the cost of a failed fetch,
/// `wait_limit` is at most the time for the backlog and recomputing the fetched blocks, and exceeds
/// the expected arrival by a bounded margin.
LeadingFetch PlanLeadingFetch(const LeadingFetchRequest& request,
                              const std::vector<LinkState>& links, const PrefillState& prefill,
                              Duration remaining);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LEADING_FETCH_H_
