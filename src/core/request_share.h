#ifndef FUCHSIAWEIR_CORE_REQUEST_SHARE_H_
#define FUCHSIAWEIR_CORE_REQUEST_SHARE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Returns how many of `requests` to the runner are this gateway's. The gateways divide them
/// without communication; the remainder goes to the first ones in rendezvous order. `gateways`
/// holds the names of all gateways, including `self`.
int64_t RequestShare(int64_t requests, const std::string& runner, const std::string& self,
                     const std::vector<std::string>& gateways);

/// Sliding window of the requests that this gateway sent to one runner.
///
/// Load pattern: all runners of a data centre restart cold at once, and every gateway has home
/// runners of its prompts among them.
class RequestWindow {
 public:
  /// Returns whether fewer than `share` requests were sent within `length` before `now`. Forgets
  /// older ones.
  bool HasCapacity(int64_t share, Duration length, TimePoint now);
  /// Returns the time until `HasCapacity` holds; without a share, the length of the window.
  Duration WaitTime(int64_t share, Duration length, TimePoint now);
  void OnSent(TimePoint now) { sent_.push_back(now); }

 private:
  std::deque<TimePoint> sent_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REQUEST_SHARE_H_
