#include "core/store_health.h"

#include <utility>

namespace fuchsiaweir {
namespace {

// Runner entries that expired during an outage are written again up to 2 s after its end.
constexpr Duration kOutageGracePeriod = Millis(2500);

}  // namespace

StoreHealth::Change StoreHealth::OnCall(const std::string& kind, bool succeeded) {
  const bool lost_before = !failing_.empty();
  if (succeeded) {
    failing_.erase(kind);
  } else {
    failing_.insert(kind);
  }
  if (lost_before == !failing_.empty()) return Change::kNone;
  return lost_before ? Change::kAvailable : Change::kUnavailable;
}

void StoreHealth::OnRunnerListRead(std::optional<bool> relay_outage, TimePoint now) {
  if (relay_outage) {
    // A process that now reads through a relay must not rely on the result of its own last call.
    runner_outage_ = *relay_outage;
    return;
  }
  if (std::exchange(runner_list_failed_, false)) runner_list_restored_at_ = now;
  runner_outage_ = now - runner_list_restored_at_ < kOutageGracePeriod;
}

}  // namespace fuchsiaweir
