#ifndef FUCHSIAWEIR_CORE_STORE_HEALTH_H_
#define FUCHSIAWEIR_CORE_STORE_HEALTH_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// Reachability of the platform's store as seen by this process, tracked per kind of object.
class StoreHealth {
 public:
  enum class Change { kNone, kUnavailable, kAvailable };

  /// Records the result of a call for objects of `kind`. Objects received through a relay count as
  /// a successful call. Returns whether the store was lost or regained as a result.
  Change OnCall(const std::string& kind, bool succeeded);

  /// Records that a call to the store for the runner list failed.
  void OnRunnerListReadFailed() { runner_list_failed_ = true; }
  /// Records that the runner list was read. `relay_outage` is the outage state that the relay
  /// reported, or nullopt when the list came from the store itself.
  void OnRunnerListRead(std::optional<bool> relay_outage, TimePoint now);
  /// Whether runners may be missing from the list only because of a store outage, according to the
  /// process that last read the list from the store.
  bool runner_outage() const { return runner_outage_; }

  size_t failing_kinds() const { return failing_.size(); }

 private:
  std::set<std::string> failing_;
  bool runner_list_failed_ = false;    ///< The last call for the runner list failed.
  TimePoint runner_list_restored_at_;  ///< First successful read after a failure.
  bool runner_outage_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_STORE_HEALTH_H_
