#ifndef FUCHSIAWEIR_CORE_COLD_SHARE_H_
#define FUCHSIAWEIR_CORE_COLD_SHARE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Requests a second that one gateway may send to a cold runner, so that all gateways together stay
/// within the runner's rate without asking each other: the whole requests of the rate are dealt to
/// the gateways in rendezvous order. `gateways` holds all names, among them `self`.
int64_t ColdShare(double rate, const std::string& runner, const std::string& self,
                  const std::vector<std::string>& gateways);

/// Times of the requests that were sent to one cold runner.
///
/// Load pattern: all runners of a data centre return cold at once and every gateway finds its
/// prompts' home among them.
class ColdAllowance {
 public:
  /// Whether one more request within the last second keeps to `share`.
  bool HasCapacity(int64_t share, TimePoint now);
  void OnSent(TimePoint now) { sent_.push_back(now); }

 private:
  std::deque<TimePoint> sent_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_COLD_SHARE_H_
