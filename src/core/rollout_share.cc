#include "core/rollout_share.h"

#include <cmath>

namespace fuchsiaweir {
namespace {

/// Part of the share that is used. The rest covers requests that are counted here as sent, but that
/// their runner never received.
constexpr double kUsedShare = 0.9;

int64_t Allowed(double share, int64_t sent) {
  return static_cast<int64_t>(std::floor(share * kUsedShare * static_cast<double>(sent)));
}

}  // namespace

bool RolloutShare::HasRoom(const std::string& route) const {
  if (all_.on_trial + 1 > Allowed(share_, all_.sent) + slack_) return false;
  const auto known = routes_.find(route);
  // The first request of a route goes to the trial, since a rare route may have few others.
  return known == routes_.end() || known->second.on_trial <= Allowed(share_, known->second.sent);
}

void RolloutShare::OnTrial(const std::string& route) {
  ++all_.on_trial;
  ++routes_[route].on_trial;
}

void RolloutShare::OnSent(const std::string& route) {
  ++all_.sent;
  ++routes_[route].sent;
}

}  // namespace fuchsiaweir
