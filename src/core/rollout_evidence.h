#ifndef FUCHSIAWEIR_CORE_ROLLOUT_EVIDENCE_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "core/clock.h"

namespace fuchsiaweir {

/// Answers of one version on one route since a rollout's order.
struct VersionCounts {
  int64_t answers = 0;   ///< All, with those that failed or were slow.
  int64_t failures = 0;  ///< Errors of the runner, and answers that broke off or did not come.
  int64_t slow = 0;      ///< Others that took several times the old version's median time.

  int64_t bad() const { return failures + slow; }
};

struct RouteCounts {
  VersionCounts present;
  VersionCounts target;
};

using CountsByRoute = std::map<std::string, RouteCounts>;

/// The counts of all gateways, as their leader knows them.
class RolloutEvidence {
 public:
  /// Applies a gateway's counts since the order. `source` names one start of the gateway, since a
  /// restarted one begins to count anew. Messages may be lost, repeated or reordered.
  void OnCounts(const std::string& source, const CountsByRoute& counts);

  CountsByRoute Total() const;
  /// Returns the counts of the last seconds, from the totals at earlier calls.
  CountsByRoute Recent(TimePoint now);

 private:
  std::map<std::string, CountsByRoute> by_source_;
  std::deque<std::pair<TimePoint, CountsByRoute>> totals_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_EVIDENCE_H_
