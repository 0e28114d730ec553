#include "core/load_rollout.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// A fifth of the runners may load at once, two at least where that leaves half of them. More slow
/// each other down.
constexpr int64_t kShareLoading = 5;
constexpr int64_t kLeastLoading = 2;

int64_t LoadingAtOnce(const LoadRollout& rollout) {
  const int64_t count = static_cast<int64_t>(rollout.runners.size());
  const int64_t least = std::max<int64_t>(1, std::min(kLeastLoading, count / 2));
  const int64_t usual = std::max(least, count / kShareLoading);
  // Late in the window, all that is left has to fit into what remains of it.
  if (rollout.elapsed > rollout.window * 4 / 3) return count;
  return rollout.elapsed > rollout.window ? usual * 2 : usual;
}

}  // namespace

bool LoadRollout::MayStartFinishing(const std::string& runner) const {
  const std::string salt = absl::StrCat(version);
  const uint64_t own = RendezvousScore(salt, runner);
  int64_t before = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    const bool waiting = other.phase == WeightLoadPhase::kServing &&
                         other.weights_version < version && RendezvousScore(salt, other.id) > own;
    if (waiting || other.phase != WeightLoadPhase::kServing) ++before;
  }
  // While some load, as many others finish what only they can finish.
  return before < 2 * LoadingAtOnce(*this);
}

bool LoadRollout::MayStartLoading(const std::string& runner) const {
  const std::string salt = absl::StrCat(version);
  const uint64_t own = RendezvousScore(salt, runner);
  int64_t before = 0;
  for (const RolloutRunner& other : runners) {
    if (other.id == runner) continue;
    // Reports take a while: without an order, runners that become ready together would load
    // together.
    const bool first =
        other.phase == WeightLoadPhase::kFinishing && RendezvousScore(salt, other.id) > own;
    if (first || other.phase == WeightLoadPhase::kLoading) ++before;
  }
  return before < LoadingAtOnce(*this);
}

}  // namespace fuchsiaweir
