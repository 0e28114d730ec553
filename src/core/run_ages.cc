#include "core/run_ages.h"

#include <algorithm>
#include <utility>

namespace fuchsiaweir {

void RunAges::Observe(const std::vector<std::string>& runs, TimePoint now) {
  std::map<std::string, TimePoint> first_seen;
  for (const std::string& run : runs) {
    const auto known = first_seen_.find(run);
    first_seen.emplace(run, known == first_seen_.end() ? now : known->second);
  }
  first_seen_ = std::move(first_seen);
}

Duration RunAges::Oldest(TimePoint now) const {
  Duration oldest{0};
  for (const auto& [run, at] : first_seen_) oldest = std::max(oldest, now - at);
  return oldest;
}

}  // namespace fuchsiaweir
