#ifndef FUCHSIAWEIR_CORE_PROMPT_DEMAND_H_
#define FUCHSIAWEIR_CORE_PROMPT_DEMAND_H_

#include <cstdint>

#include "core/clock.h"

namespace fuchsiaweir {

/// What the prompts of the last seconds ask of the engines' memory.
struct DemandEstimate {
  double tokens_per_s = 0;   ///< Prompt and output tokens that this gateway places.
  double output_tokens = 0;  ///< Mean output limit of a request.
};

/// Follows the prompts that this gateway places.
class PromptDemand {
 public:
  void OnPlaced(int64_t prompt_tokens, int64_t output_tokens, TimePoint now);
  DemandEstimate Estimate(TimePoint now) const;

 private:
  double weight_ = 0;  ///< Decayed number of requests.
  double tokens_ = 0;
  double output_ = 0;
  TimePoint at_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PROMPT_DEMAND_H_
