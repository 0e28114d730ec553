#include "core/request_share.h"

#include <algorithm>

#include "core/rendezvous.h"

namespace fuchsiaweir {

int64_t RequestShare(int64_t requests, const std::string& runner, const std::string& self,
                     const std::vector<std::string>& gateways) {
  const int64_t count = std::max<int64_t>(1, static_cast<int64_t>(gateways.size()));
  const uint64_t own = RendezvousScore(runner, self);
  int64_t rank = 0;
  for (const std::string& gateway : gateways) {
    if (gateway != self && RendezvousScore(runner, gateway) > own) ++rank;
  }
  return requests / count + (rank < requests % count ? 1 : 0);
}

bool RequestWindow::HasCapacity(int64_t share, Duration length, TimePoint now) {
  while (!sent_.empty() && now - sent_.front() >= length) sent_.pop_front();
  return static_cast<int64_t>(sent_.size()) < share;
}

Duration RequestWindow::WaitTime(int64_t share, Duration length, TimePoint now) {
  if (HasCapacity(share, length, now)) return Duration{0};
  if (share <= 0) return length;
  // The window may hold more than the share, if this became smaller.
  const size_t excess = sent_.size() - static_cast<size_t>(share);
  return sent_[excess] + length - now;
}

}  // namespace fuchsiaweir
