#ifndef FUCHSIAWEIR_GATEWAY_HELD_ANSWER_H_
#define FUCHSIAWEIR_GATEWAY_HELD_ANSWER_H_

#include <cstdint>
#include <memory>

#include "core/memory_budget.h"
#include "gateway/forwarded_request.h"

namespace fuchsiaweir {

/// Returns the memory for a runner's answer, with room for the length that its header announces. If
/// it is evicted, the runner's connection is closed, and the caller's too if it gets the answer.
std::unique_ptr<MemoryBudget::Share> HoldAnswer(MemoryBudget& memory, ForwardedRequest& request,
                                                const RunnerHeader& header);

/// Marks the answer as being sent to the caller, and returns the memory for `Respond`.
MemoryBudget::Share* BeginDelivery(ForwardedRequest& request, MemoryBudget::Share* memory);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_HELD_ANSWER_H_
