#include "core/poison_tracker.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr size_t kMaxCrashesPerRequest = 2;

}  // namespace

PoisonVerdict PoisonTracker::Decide(const std::string& digest, int64_t unix_ms) const {
  const auto found = records_.find(digest);
  if (found == records_.end() || unix_ms - found->second.last_ms >= rules_.record_lifetime_ms) {
    return PoisonVerdict::kNormal;
  }
  return found->second.crashes.size() < kMaxCrashesPerRequest ? PoisonVerdict::kIsolate
                                                              : PoisonVerdict::kRefuse;
}

CrashRecords PoisonTracker::RecordCrash(const std::string& crash_id,
                                        const std::vector<std::string>& running, int64_t unix_ms) {
  // All requests that ran at the crash are suspects; an innocent one is cleared when it completes
  // alone.
  CrashRecords changed;
  for (const std::string& digest : running) changed[digest] = {{crash_id}, unix_ms};
  Merge(changed, unix_ms);
  for (auto& [digest, record] : changed) {
    const auto merged = records_.find(digest);
    if (merged != records_.end()) record = merged->second;
  }
  return changed;
}

void PoisonTracker::Merge(const CrashRecords& records, int64_t unix_ms) {
  for (const auto& [digest, theirs] : records) {
    CrashRecord& ours = records_[digest];
    // Crashes of an expired record do not count together with new ones.
    if (unix_ms - ours.last_ms >= rules_.record_lifetime_ms) ours.crashes.clear();
    for (const std::string& crash : theirs.crashes) {
      if (ours.crashes.size() < kMaxCrashesPerRequest) ours.crashes.insert(crash);
    }
    // A peer whose clock is ahead must not extend a record's lifetime.
    ours.last_ms = std::max(ours.last_ms, std::min(theirs.last_ms, unix_ms));
  }
  EvictRecords(unix_ms);
}

void PoisonTracker::EvictRecords(int64_t unix_ms) {
  std::erase_if(records_, [&](const auto& entry) {
    return unix_ms - entry.second.last_ms >= rules_.record_lifetime_ms;
  });
  while (records_.size() > rules_.max_records) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(),
        [](const auto& a, const auto& b) { return a.second.last_ms < b.second.last_ms; }));
  }
}

}  // namespace fuchsiaweir
