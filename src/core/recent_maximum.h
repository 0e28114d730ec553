#ifndef FUCHSIAWEIR_CORE_RECENT_MAXIMUM_H_
#define FUCHSIAWEIR_CORE_RECENT_MAXIMUM_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// Longest of the durations that were added within the last window, or within the last two.
class RecentMaximum {
 public:
  explicit RecentMaximum(Duration window) : window_(window) {}

  void Add(Duration duration, TimePoint now);
  /// Zero if none was added.
  Duration Longest(TimePoint now) const;

 private:
  Duration window_;
  TimePoint begin_;  ///< Of the current window.
  Duration current_{0};
  Duration previous_{0};
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RECENT_MAXIMUM_H_
