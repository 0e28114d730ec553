#ifndef FUCHSIAWEIR_CORE_LISTED_VERSIONS_H_
#define FUCHSIAWEIR_CORE_LISTED_VERSIONS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits of the time for which a version counts after its runners have left.
inline constexpr Duration kMinStreamLifetime = Seconds(30);
inline constexpr Duration kMaxStreamLifetime = Seconds(3'600);

/// What one process has seen of the software versions of a service's runners.
struct SeenVersions {
  std::set<std::string> versions;  ///< Listed within the lifetime of streams.
  Duration watched{0};             ///< How long the process has watched the list without a gap.
};

/// The software versions of the listed runners, by service, and when each was last listed.
class ListedVersions {
 public:
  /// Records the versions of the runners that are listed now. The watch begins with the first call,
  /// and anew with one that follows a gap.
  void OnListed(const std::map<std::string, std::set<std::string>>& by_service, TimePoint now);
  /// Returns the versions of the service that were listed within `lifetime`.
  SeenVersions Seen(const std::string& service, Duration lifetime, TimePoint now) const;

 private:
  std::map<std::string, std::map<std::string, TimePoint>> last_listed_;
  std::optional<TimePoint> watched_since_;
  TimePoint listed_at_;
};

/// Returns the version that has begun every stream of a service that may still be resumed, by what
/// several processes have seen of it; nothing if there were several, or if none of them has watched
/// for the whole lifetime of streams.
std::optional<std::string> OnlyVersion(const std::vector<SeenVersions>& seen, Duration lifetime);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LISTED_VERSIONS_H_
