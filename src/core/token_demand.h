#ifndef FUCHSIAWEIR_CORE_TOKEN_DEMAND_H_
#define FUCHSIAWEIR_CORE_TOKEN_DEMAND_H_

#include <cstdint>

#include "core/clock.h"

namespace fuchsiaweir {

/// What the items of the last seconds ask of a memory.
struct DemandEstimate {
  double tokens_per_s = 0;   ///< Of whole items.
  double output_tokens = 0;  ///< Mean part of an item that is generated.
};

/// Follows how many tokens this process sends somewhere.
class TokenDemand {
 public:
  /// Notes an item of `tokens`, of which `output_tokens` are still to be generated.
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
