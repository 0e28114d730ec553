#include "core/cold_share.h"

#include <algorithm>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// The runner counts arrivals in one second; the rest covers differences in transit.
constexpr Duration kWindow = Millis(1100);

}  // namespace

int64_t ColdShare(double rate, const std::string& runner, const std::string& self,
                  const std::vector<std::string>& gateways) {
  const int64_t whole = static_cast<int64_t>(rate);
  const int64_t count = std::max<int64_t>(1, static_cast<int64_t>(gateways.size()));
  const uint64_t own = RendezvousScore(runner, self);
  int64_t rank = 0;
  for (const std::string& gateway : gateways) {
    if (gateway != self && RendezvousScore(runner, gateway) > own) ++rank;
  }
  return whole / count + (rank < whole % count ? 1 : 0);
}

bool ColdAllowance::HasCapacity(int64_t share, TimePoint now) {
  while (!sent_.empty() && now - sent_.front() >= kWindow) sent_.pop_front();
  return static_cast<int64_t>(sent_.size()) < share;
}

}  // namespace fuchsiaweir
