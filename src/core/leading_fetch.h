#ifndef FUCHSIAWEIR_CORE_LEADING_FETCH_H_
#define FUCHSIAWEIR_CORE_LEADING_FETCH_H_

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "core/fetch_plan.h"

namespace fuchsiaweir {

/// A block of a prompt that can be fetched.
struct BlockCopy {
  int64_t bytes = 0;
  size_t link = 0;  ///< Index of the link to it.
};

/// The prompt from the first block that is not resident on.
struct LeadingFetchRequest {
  std::vector<BlockCopy> copies;  ///< Leading blocks with a copy, in prompt order.
  int64_t block_tokens = 0;
  int64_t rest_tokens = 0;  ///< Tokens after the blocks in `copies`.
};

/// How many leading blocks to fetch before the prompt starts, and how long to wait for them.
struct LeadingFetch {
  size_t blocks = 0;
  Duration arrival{0};     ///< Expected end of the fetch.
  Duration wait_limit{0};  ///< The prompt starts at the latest after this time.
};

/// Chooses the leading blocks whose fetch makes the prompt ready soonest.
///
/// An engine looks for a prompt's blocks once, when the prompt starts, and uses the leading ones
/// that it holds. Blocks that arrive later are of no use, so that a plan which computes the first
/// blocks beside the fetch of the later ones is not available here. `wait_limit` exceeds neither
/// the time of recomputing the fetched blocks after the backlog nor the arrival by more than a
/// small part, so that a fetch that fails costs little.
LeadingFetch PlanLeadingFetch(const LeadingFetchRequest& demand,
                              const std::vector<LinkState>& links, const PrefillState& prefill,
                              Duration remaining);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LEADING_FETCH_H_
