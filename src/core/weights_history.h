#ifndef FUCHSIAWEIR_CORE_WEIGHTS_HISTORY_H_
#define FUCHSIAWEIR_CORE_WEIGHTS_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>

#include "core/clock.h"

namespace fuchsiaweir {

/// Versions of a model's weights that the operator named, and when.
///
/// Load pattern: weights are named again before the former are in place everywhere. Each version
/// has its own time limit: a newer one must not make older weights usable again.
class WeightsHistory {
 public:
  /// Notes that a version was named at `at`, or earlier than known before. Returns whether the
  /// version is newer than all others.
  bool Name(int64_t version, TimePoint at);

  /// Notes a version of which is unknown when it was named. `Name` replaces the assumption.
  void NameWithAssumedTime(int64_t version, TimePoint at);

  /// The newest version; 0 when none is known.
  int64_t newest() const { return named_.empty() ? 0 : named_.rbegin()->first; }
  /// The highest version that was named at least `limit` ago; 0 when none was.
  int64_t RequiredVersion(Duration limit, TimePoint now) const;
  /// Time since a version newer than `held` was first named; zero when there is none.
  Duration VersionLag(int64_t held, TimePoint now) const;
  const std::map<int64_t, TimePoint>& named() const { return named_; }

 private:
  std::map<int64_t, TimePoint> named_;
  std::set<int64_t> assumed_;  ///< Versions whose time is not known.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WEIGHTS_HISTORY_H_
