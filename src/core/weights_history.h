#ifndef FUCHSIAWEIR_CORE_WEIGHTS_HISTORY_H_
#define FUCHSIAWEIR_CORE_WEIGHTS_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>

#include "core/clock.h"

namespace fuchsiaweir {

/// Versions of a model's weights that the operator named as the target, and when each was named.
///
/// Load pattern: new weights are named before the previous ones are loaded everywhere. Each version
/// has its own deadline: naming a newer one must not extend the use of older weights.
class WeightsHistory {
 public:
  /// Records that `version` was named at `at`. The earliest recorded time counts. Returns whether
  /// the version is newer than all others.
  bool Name(int64_t version, TimePoint at);

  /// Records a version of unknown age with an assumed time, which a later `Name` replaces. Has no
  /// effect on a version that is already recorded.
  void NameWithAssumedTime(int64_t version, TimePoint at);

  /// The newest version; 0 when there is none.
  int64_t newest() const { return named_.empty() ? 0 : named_.rbegin()->first; }
  /// Returns the minimum version that may still be used when weights have to be replaced within
  /// `limit`: the highest version named at least `limit` ago, or 0.
  int64_t RequiredVersion(Duration limit, TimePoint now) const;
  /// Returns the time since a version newer than `loaded` was first named; zero if there is none.
  Duration VersionLag(int64_t loaded, TimePoint now) const;
  const std::map<int64_t, TimePoint>& named() const { return named_; }

 private:
  std::map<int64_t, TimePoint> named_;
  std::set<int64_t> assumed_;  ///< Versions whose time is an assumption.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WEIGHTS_HISTORY_H_
