#include "core/listed_versions.h"

namespace fuchsiaweir {
namespace {

/// A version may have come and gone in a longer time without the list.
constexpr Duration kMaxGap = Seconds(3);

}  // namespace

void ListedVersions::OnListed(const std::map<std::string, std::set<std::string>>& by_service,
                              TimePoint now) {
  if (!watched_since_ || now - listed_at_ > kMaxGap) watched_since_ = now;
  listed_at_ = now;
  for (const auto& [service, versions] : by_service) {
    for (const std::string& version : versions) last_listed_[service][version] = now;
  }
  // Entries of other writers may name ever new services and versions.
  for (auto& [service, versions] : last_listed_) {
    std::erase_if(versions,
                  [&](const auto& item) { return now - item.second > kMaxStreamLifetime; });
  }
  std::erase_if(last_listed_, [](const auto& item) { return item.second.empty(); });
}

SeenVersions ListedVersions::Seen(const std::string& service, Duration lifetime,
                                  TimePoint now) const {
  SeenVersions seen;
  if (watched_since_ && now - listed_at_ <= kMaxGap) seen.watched = now - *watched_since_;
  const auto found = last_listed_.find(service);
  if (found == last_listed_.end()) return seen;
  for (const auto& [version, at] : found->second) {
    if (now - at <= lifetime) seen.versions.insert(version);
  }
  return seen;
}

std::optional<std::string> OnlyVersion(const std::vector<SeenVersions>& seen, Duration lifetime) {
  std::set<std::string> versions;
  bool watched = false;
  for (const SeenVersions& view : seen) {
    versions.insert(view.versions.begin(), view.versions.end());
    watched = watched || view.watched >= lifetime;
  }
  if (!watched || versions.size() != 1) return std::nullopt;
  return *versions.begin();
}

}  // namespace fuchsiaweir
