#include "core/weights_history.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Versions that are kept; an older one is covered by the next.
constexpr size_t kMaxVersions = 8;

}  // namespace

bool WeightsHistory::Name(int64_t version, TimePoint at) {
  const bool newer = version > newest();
  const auto [it, created] = named_.try_emplace(version, at);
  it->second = assumed_.erase(version) > 0 ? at : std::min(it->second, at);
  while (named_.size() > kMaxVersions) {
    // The next version takes over the time of the one that is dropped.
    const TimePoint dropped = named_.begin()->second;
    named_.erase(named_.begin());
    named_.begin()->second = std::min(named_.begin()->second, dropped);
  }
  return newer;
}

void WeightsHistory::NameWithAssumedTime(int64_t version, TimePoint at) {
  if (named_.try_emplace(version, at).second) assumed_.insert(version);
}

int64_t WeightsHistory::RequiredVersion(Duration limit, TimePoint now) const {
  int64_t required = 0;
  for (const auto& [version, at] : named_) {
    if (now - at >= limit) required = version;
  }
  return required;
}

Duration WeightsHistory::VersionLag(int64_t held, TimePoint now) const {
  Duration longest{0};
  for (const auto& [version, at] : named_) {
    if (version > held) longest = std::max(longest, now - at);
  }
  return longest;
}

}  // namespace fuchsiaweir
