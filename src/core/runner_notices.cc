#include "core/runner_notices.h"

#include <algorithm>
#include <utility>

namespace fuchsiaweir {
namespace {

/// Longest time over which the gateways divide a limit. In it, each gateway should get at least one
/// request, but a runner bears its requests of a long time all at once less well.
constexpr double kMaxWindowSeconds = 2;
constexpr double kMinWindowSeconds = 1;
/// A larger limit has no effect.
constexpr double kMaxPerSecond = 1e6;
/// A runner with a smaller limit takes nothing.
constexpr double kMinPerSecond = 1e-3;
/// Added to the window to cover variations of the network delay.
constexpr Duration kDelayMargin = Millis(100);
/// A limit of which neither an answer nor another gateway has told for this long may have ended:
/// one request is sent to find out.
constexpr Duration kValidity = Seconds(30);
/// Runners of which nothing was heard for this long are gone.
constexpr Duration kRetention = std::chrono::minutes(10);
constexpr Duration kReminderPeriod = Seconds(1);

/// A number of requests in a time.
struct Allowance {
  int64_t requests = 0;
  Duration window{0};
};

/// Returns the limit as a whole number of requests: one for each gateway, if the window permits.
Allowance MakeAllowance(double per_second, size_t gateways) {
  if (per_second < kMinPerSecond) return {0, Micros(static_cast<int64_t>(kMaxWindowSeconds * 1e6))};
  const double rate = std::min(per_second, kMaxPerSecond);
  const auto least = static_cast<int64_t>(rate * kMinWindowSeconds);
  const auto most = static_cast<int64_t>(rate * kMaxWindowSeconds);
  const int64_t requests =
      std::max<int64_t>(1, std::clamp(static_cast<int64_t>(gateways), least, most));
  return {requests, Micros(static_cast<int64_t>(static_cast<double>(requests) / rate * 1e6))};
}

}  // namespace

RunnerNotices::Entry& RunnerNotices::EntryOf(const std::string& runner, int64_t started_ms,
                                             TimePoint now) {
  OnListed(runner, started_ms);
  Entry& entry = entries_[runner];
  entry.started_ms = std::max(entry.started_ms, started_ms);
  entry.heard_at = std::max(entry.heard_at, now);
  return entry;
}

RunnerNotices::Limit* RunnerNotices::FindLimit(const std::string& runner) {
  const auto known = entries_.find(runner);
  return known == entries_.end() || !known->second.limit ? nullptr : &*known->second.limit;
}

const RunnerNotices::Limit* RunnerNotices::FindLimit(const std::string& runner) const {
  const auto known = entries_.find(runner);
  return known == entries_.end() || !known->second.limit ? nullptr : &*known->second.limit;
}

bool RunnerNotices::Pause(const std::string& runner, int64_t started_ms, TimePoint until,
                          TimePoint now) {
  Entry& entry = EntryOf(runner, started_ms, now);
  const bool paused = entry.paused_until > now;
  // An answer with a shorter pause does not take back what an earlier one asked for.
  entry.paused_until = std::max(entry.paused_until, until);
  return !paused;
}

Duration RunnerNotices::PauseLeft(const std::string& runner, TimePoint now) const {
  const auto known = entries_.find(runner);
  if (known == entries_.end()) return Duration{0};
  return std::max<Duration>(Duration{0}, known->second.paused_until - now);
}

bool RunnerNotices::MarkLeaving(const std::string& runner, int64_t started_ms, TimePoint now) {
  Entry& entry = EntryOf(runner, started_ms, now);
  return !std::exchange(entry.leaving, true);
}

bool RunnerNotices::Leaving(const std::string& runner) const {
  const auto known = entries_.find(runner);
  return known != entries_.end() && known->second.leaving;
}

bool RunnerNotices::Update(const std::string& runner, const RequestLimit& limit) {
  Limit* known = FindLimit(runner);
  if (known == nullptr) {
    if (!limit.per_second) return false;
    Entry& entry = entries_[runner];
    entry.limit.emplace().named = limit;
    entry.heard_at = std::max(entry.heard_at, limit.as_of);
    return true;
  }
  if (limit.as_of < known->named.as_of) return false;
  Entry& entry = entries_[runner];
  entry.heard_at = std::max(entry.heard_at, limit.as_of);
  if (limit.per_second) {
    known->named = limit;
    return false;
  }
  entry.limit.reset();
  return true;
}

bool RunnerNotices::ReminderDue(const std::string& runner, TimePoint now) {
  Limit* known = FindLimit(runner);
  if (known == nullptr || now - known->told_at < kReminderPeriod) return false;
  known->told_at = now;
  return true;
}

void RunnerNotices::OnReminder(const std::string& runner, TimePoint now) {
  if (Limit* known = FindLimit(runner)) known->told_at = now;
}

Duration RunnerNotices::WaitTime(const std::string& runner, const std::string& self,
                                 const std::vector<std::string>& gateways, TimePoint now) {
  Limit* known = FindLimit(runner);
  if (known == nullptr) return Duration{0};
  if (now - std::max(known->named.as_of, known->last_sent) >= kValidity) return Duration{0};
  const Allowance allowance = MakeAllowance(*known->named.per_second, gateways.size());
  const int64_t share =
      gateways.empty() ? 0 : RequestShare(allowance.requests, runner, self, gateways);
  const Duration window = allowance.window + kDelayMargin;
  return known->sent.WaitTime(share, window, now);
}

void RunnerNotices::OnSent(const std::string& runner, TimePoint now) {
  Limit* known = FindLimit(runner);
  if (known == nullptr) return;
  known->sent.OnSent(now);
  known->last_sent = now;
}

void RunnerNotices::OnRestart(const std::string& runner, int64_t started_ms) {
  const auto known = entries_.find(runner);
  if (known != entries_.end() && known->second.started_ms < started_ms) entries_.erase(known);
}

void RunnerNotices::OnListed(const std::string& runner, int64_t started_ms) {
  const auto known = entries_.find(runner);
  if (known != entries_.end() && known->second.started_ms > 0) OnRestart(runner, started_ms);
}

void RunnerNotices::Expire(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Entry& entry = item.second;
    return now - entry.heard_at >= kRetention && now >= entry.paused_until;
  });
}

std::optional<double> RunnerNotices::PerSecond(const std::string& runner) const {
  const Limit* known = FindLimit(runner);
  return known == nullptr ? std::nullopt : known->named.per_second;
}

int64_t RunnerNotices::limited() const {
  return std::count_if(entries_.begin(), entries_.end(),
                       [](const auto& item) { return item.second.limit.has_value(); });
}

}  // namespace fuchsiaweir
