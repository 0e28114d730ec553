#ifndef FUCHSIAWEIR_CORE_STORE_HEALTH_H_
#define FUCHSIAWEIR_CORE_STORE_HEALTH_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// What a process believes of its way to the platform's store, kind of object by kind.
class StoreHealth {
 public:
  enum class Change { kNone, kLost, kRegained };

  /// A call for objects of the kind ended well or not, or the kind now comes by way of a relay,
  /// which is as good as a sound call. Tells whether the store was lost or regained by that.
  Change OnCall(const std::string& kind, bool sound);

  /// A call to the store for the list of runners failed.
  void OnRunnerListReadFailed() { runners_failed_ = true; }
  /// The runners were read, from the store or from a relay that tells of an outage or not.
  void OnRunnerListRead(std::optional<bool> relay_outage, TimePoint now);
  /// Whether entries of runners may be missing only because of an outage, as seen by whoever read
  /// them last.
  bool runner_outage() const { return runner_outage_; }

  size_t failing_kinds() const { return failing_.size(); }

 private:
  std::set<std::string> failing_;
  bool runners_failed_ = false;  ///< The last answer about runners was a failure.
  TimePoint runners_back_at_;    ///< When they could be read again after a loss.
  bool runner_outage_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_STORE_HEALTH_H_
