#ifndef FUCHSIAWEIR_CORE_TOKEN_DEMAND_H_
#define FUCHSIAWEIR_CORE_TOKEN_DEMAND_H_

#include <cstdint>

#include "core/clock.h"

namespace fuchsiaweir {

/// Recent demand for tokens in an engine's memory or in a store of KV parts.
struct DemandEstimate {
  double tokens_per_s = 0;   ///< Prompt and output tokens.
  double output_tokens = 0;  ///< Mean output tokens per item.
};

/// Exponentially decaying estimate of the token rate that this process sends to a service or store.
class TokenDemand {
 public:
  /// Records an item of `tokens`, of which `output_tokens` are still to be generated.
  void OnSent(int64_t tokens, int64_t output_tokens, TimePoint now);
  DemandEstimate Estimate(TimePoint now) const;

 private:
  double weight_ = 0;  ///< Decayed number of items.
  double tokens_ = 0;
  double output_ = 0;
  TimePoint at_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_TOKEN_DEMAND_H_
