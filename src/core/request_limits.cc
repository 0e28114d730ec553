#include "core/request_limits.h"

#include <algorithm>

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

bool RequestLimits::Update(const std::string& runner, const RequestLimit& limit) {
  const auto known = limits_.find(runner);
  if (known == limits_.end()) {
    if (limit.per_second) limits_[runner].limit = limit;
    return limit.per_second.has_value();
  }
  if (limit.as_of < known->second.limit.as_of) return false;
  if (limit.per_second) {
    known->second.limit = limit;
    return false;
  }
  limits_.erase(known);
  return true;
}

bool RequestLimits::ReminderDue(const std::string& runner, TimePoint now) {
  const auto known = limits_.find(runner);
  if (known == limits_.end() || now - known->second.told_at < kReminderPeriod) return false;
  known->second.told_at = now;
  return true;
}

void RequestLimits::OnReminder(const std::string& runner, TimePoint now) {
  const auto known = limits_.find(runner);
  if (known != limits_.end()) known->second.told_at = now;
}

Duration RequestLimits::WaitTime(const std::string& runner, const std::string& self,
                                 const std::vector<std::string>& gateways, TimePoint now) {
  const auto known = limits_.find(runner);
  if (known == limits_.end()) return Duration{0};
  Entry& entry = known->second;
  if (now - std::max(entry.limit.as_of, entry.last_sent) >= kValidity) return Duration{0};
  const Allowance allowance = MakeAllowance(*entry.limit.per_second, gateways.size());
  const int64_t share =
      gateways.empty() ? 0 : RequestShare(allowance.requests, runner, self, gateways);
  const Duration window = allowance.window + kDelayMargin;
  return entry.sent.WaitTime(share, window, now);
}

void RequestLimits::OnSent(const std::string& runner, TimePoint now) {
  const auto known = limits_.find(runner);
  if (known == limits_.end()) return;
  known->second.sent.OnSent(now);
  known->second.last_sent = now;
}

void RequestLimits::Expire(TimePoint now) {
  std::erase_if(limits_,
                [now](const auto& entry) { return now - entry.second.limit.as_of >= kRetention; });
}

std::optional<double> RequestLimits::PerSecond(const std::string& runner) const {
  const auto known = limits_.find(runner);
  return known == limits_.end() ? std::nullopt : known->second.limit.per_second;
}

}  // namespace fuchsiaweir
