#include "core/recent_maximum.h"

#include <algorithm>

namespace fuchsiaweir {

void RecentMaximum::Add(Duration duration, TimePoint now) {
  const Duration age = now - begin_;
  if (age >= window_) {
    previous_ = age < 2 * window_ ? current_ : Duration{0};
    current_ = Duration{0};
    begin_ = now;
  }
  current_ = std::max(current_, duration);
}

Duration RecentMaximum::Longest(TimePoint now) const {
  const Duration age = now - begin_;
  if (age >= 2 * window_) return Duration{0};
  return age >= window_ ? current_ : std::max(current_, previous_);
}

}  // namespace fuchsiaweir
