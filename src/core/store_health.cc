#include "core/store_health.h"

#include <utility>

namespace fuchsiaweir {
namespace {

/// Entries that lapsed during an outage return up to two seconds after it.
constexpr Duration kOutageTail = Millis(2500);

}  // namespace

StoreHealth::Change StoreHealth::OnCall(const std::string& kind, bool sound) {
  const bool lost_before = !failing_.empty();
  if (sound) {
    failing_.erase(kind);
  } else {
    failing_.insert(kind);
  }
  if (lost_before == !failing_.empty()) return Change::kNone;
  return lost_before ? Change::kRegained : Change::kLost;
}

void StoreHealth::OnRunnerListRead(std::optional<bool> relay_outage, TimePoint now) {
  if (relay_outage) {
    // A process that now reads from a relay must not go on judging by its own last call.
    runner_outage_ = *relay_outage;
    return;
  }
  if (std::exchange(runners_failed_, false)) runners_back_at_ = now;
  runner_outage_ = now - runners_back_at_ < kOutageTail;
}

}  // namespace fuchsiaweir
