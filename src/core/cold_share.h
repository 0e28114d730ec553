#ifndef FUCHSIAWEIR_CORE_COLD_SHARE_H_
#define FUCHSIAWEIR_CORE_COLD_SHARE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Requests per second that this gateway may send to a cold runner. The gateways divide the
/// runner's rate, rounded down, without communication; the remainder goes to the first ones in
/// rendezvous order. `gateways` holds the names of all gateways, including `self`.
int64_t ColdShare(double rate, const std::string& runner, const std::string& self,
                  const std::vector<std::string>& gateways);

/// Sliding window of the requests that were sent to one cold runner.
///
/// Load pattern: all runners of a data centre restart cold at once, and every gateway has home
/// runners of its prompts among them.
class ColdRequestWindow {
 public:
  /// Returns whether one more request keeps the window within `share` requests.
  bool HasCapacity(int64_t share, TimePoint now);
  void OnSent(TimePoint now) { sent_.push_back(now); }

 private:
  std::deque<TimePoint> sent_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_COLD_SHARE_H_
