#include "core/team_quota.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Capacity of a team's token bucket, in seconds of its rate, so that requests that arrive at the
// same time are not refused.
constexpr double kBurstSeconds = 2;

// Runs take from a tenth of a second to minutes; a caller that retries once a second adds little
// load.
constexpr Duration kConcurrencyRetryAfter = Seconds(1);

Error Exceeded(const std::string& message, Duration retry_after) {
  return Error{ErrorCode::kQuotaExceeded, RunState::kNotRun, message, retry_after};
}

}  // namespace

void TeamQuota::Configure(const std::vector<Team>& teams, size_t entry_count) {
  const auto entry_processes = static_cast<int64_t>(std::max<size_t>(1, entry_count));
  for (auto& [name, bucket] : buckets_) bucket.configured = false;
  for (const Team& team : teams) {
    Bucket& bucket = buckets_[team.name];
    bucket.configured = true;
    bucket.max_concurrent = (team.max_concurrent + entry_processes - 1) / entry_processes;
    bucket.tokens_per_second =
        static_cast<double>(team.tokens_per_second) / static_cast<double>(entry_processes);
    const double capacity = bucket.tokens_per_second * kBurstSeconds;
    bucket.tokens = bucket.refilled_at ? std::min(bucket.tokens, capacity) : capacity;
  }
  std::erase_if(buckets_, [](const auto& entry) {
    return !entry.second.configured && entry.second.running == 0;
  });
}

std::optional<Error> TeamQuota::Admit(const std::string& team, int64_t tokens, TimePoint now) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || !found->second.configured) {
    return Error{ErrorCode::kUnauthorized, RunState::kNotRun,
                 absl::StrCat("team \"", team, "\" is not in the inventory")};
  }
  Bucket& bucket = found->second;
  const TimePoint from = std::min(now, bucket.refilled_at.value_or(now));
  bucket.tokens = std::min(bucket.tokens + bucket.tokens_per_second * ToSeconds(now - from),
                           bucket.tokens_per_second * kBurstSeconds);
  bucket.refilled_at = std::max(now, bucket.refilled_at.value_or(now));
  if (bucket.running >= bucket.max_concurrent) {
    return Exceeded(absl::StrCat("team \"", team, "\" has ", bucket.running,
                                 " requests in progress; allowed are ", bucket.max_concurrent),
                    kConcurrencyRetryAfter);
  }
  // A request larger than the whole bucket must be admitted too, so any positive balance is enough.
  if (bucket.tokens <= 0) {
    const double wait_seconds = -bucket.tokens / std::max(1.0, bucket.tokens_per_second);
    return Exceeded(absl::StrCat("team \"", team, "\" exceeds its token rate limit"),
                    Micros(static_cast<int64_t>(std::ceil(wait_seconds * 1e6)) + 1));
  }
  bucket.tokens -= static_cast<double>(std::max<int64_t>(0, tokens));
  ++bucket.running;
  return std::nullopt;
}

void TeamQuota::Release(const std::string& team) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  bucket.running = std::max<int64_t>(0, bucket.running - 1);
  if (!bucket.configured && bucket.running == 0) buckets_.erase(found);
}

int64_t TeamQuota::Running(const std::string& team) const {
  const auto found = buckets_.find(team);
  return found == buckets_.end() ? 0 : found->second.running;
}

}  // namespace fuchsiaweir
