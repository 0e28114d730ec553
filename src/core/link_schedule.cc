#include "core/link_schedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace fuchsiaweir {
namespace {

// Maximum lead of a team over other teams with queued fetches, as time at the nominal rate. Among
// teams within this lead, the earliest deadline decides. A larger value favours urgent fetches, a
// smaller one favours equal shares.
constexpr double kMaxLeadSeconds = 0.1;

// Maximum write-back credit, as time at the nominal rate. Unbounded credit from an idle period
// would let write-back occupy the link for long just when requests arrive.
constexpr double kMaxCreditSeconds = 0.5;

// Time constant of the rate estimate. A link that drops to a tenth of its rate is detected as slow
// within a second.
constexpr double kRateTimeConstantSeconds = 0.5;

// Grace period before missing progress lowers the estimate. Shorter gaps between progress reports
// are normal.
constexpr Duration kProgressGracePeriod = Millis(100);

// Time constant with which the estimate of an idle link returns to the nominal rate. Without it, a
// link that was slow once would get no fetch and its recovery would never be detected.
constexpr double kRecoveryTimeConstantSeconds = 30;

// A link is slow below this fraction of its nominal rate.
constexpr double kSlowRateRatio = 0.25;

// Retry delay when the share of write-back is zero and its credit never grows.
constexpr double kNoCreditRetrySeconds = 3600;

}  // namespace

LinkSchedule::LinkSchedule(const LinkOptions& options, TimePoint now)
    : options_(options),
      credit_updated_at_(now),
      rate_(options.nominal_bytes_per_second),
      rate_updated_at_(now) {}

void LinkSchedule::SetTeamWeight(const std::string& team, double weight) {
  teams_[team].weight = weight;
}

bool LinkSchedule::Add(const Transfer& transfer, TimePoint now) {
  const bool fetch = transfer.kind == TransferKind::kFetch;
  if (!fetch && write_back_bytes_ + transfer.bytes > options_.max_write_back_bytes) return false;
  if (!fetch && IsSlow(now)) return false;
  AccrueCredit(now);
  TeamQueue& team = teams_[transfer.team];
  // A team whose queue was empty resumes at the current virtual time: idle time earns no priority.
  if (fetch) {
    if (team.fetches.empty()) {
      team.fetch_virtual_time = std::max(team.fetch_virtual_time, fetch_virtual_time_);
    }
    team.fetches.emplace(transfer.deadline, transfer);
    queued_fetch_bytes_ += transfer.bytes;
  } else {
    if (team.write_backs.empty()) {
      team.write_back_virtual_time =
          std::max(team.write_back_virtual_time, write_back_virtual_time_);
    }
    team.write_backs.push_back(transfer);
    write_back_bytes_ += transfer.bytes;
  }
  return true;
}

bool LinkSchedule::Cancel(uint64_t id) {
  const auto matches = [id](const Transfer& transfer) { return transfer.id == id; };
  for (auto& [name, team] : teams_) {
    const auto fetch = std::find_if(team.fetches.begin(), team.fetches.end(),
                                    [&](const auto& entry) { return matches(entry.second); });
    if (fetch != team.fetches.end()) {
      queued_fetch_bytes_ -= fetch->second.bytes;
      team.fetches.erase(fetch);
      return true;
    }
    const auto write = std::find_if(team.write_backs.begin(), team.write_backs.end(), matches);
    if (write != team.write_backs.end()) {
      write_back_bytes_ -= write->bytes;
      team.write_backs.erase(write);
      return true;
    }
  }
  return false;
}

void LinkSchedule::DropExpired(TimePoint now, LinkActions& actions) {
  for (auto& [name, team] : teams_) {
    while (!team.fetches.empty() && team.fetches.begin()->first < now) {
      const auto first = team.fetches.begin();
      queued_fetch_bytes_ -= first->second.bytes;
      actions.dropped.push_back(std::move(first->second));
      team.fetches.erase(first);
    }
  }
}

void LinkSchedule::DropWriteBacks(LinkActions& actions) {
  for (auto& [name, team] : teams_) {
    std::move(team.write_backs.begin(), team.write_backs.end(),
              std::back_inserter(actions.dropped));
    team.write_backs.clear();
  }
  write_back_bytes_ = 0;
}

// The team with the lowest virtual time is always eligible, and a team that exceeds the maximum
// lead is not. Each team with queued fetches is therefore served after a bounded number of bytes,
// whatever the deadlines.
std::optional<Transfer> LinkSchedule::PopFetch() {
  const TeamQueue* behind = nullptr;
  for (const auto& [name, team] : teams_) {
    if (team.fetches.empty()) continue;
    if (behind == nullptr || team.fetch_virtual_time < behind->fetch_virtual_time) behind = &team;
  }
  if (behind == nullptr) return std::nullopt;
  const double limit =
      behind->fetch_virtual_time + kMaxLeadSeconds * options_.nominal_bytes_per_second;
  fetch_virtual_time_ = std::max(fetch_virtual_time_, behind->fetch_virtual_time);
  TeamQueue* earliest = nullptr;
  for (auto& [name, team] : teams_) {
    if (team.fetches.empty() || team.fetch_virtual_time > limit) continue;
    const bool earlier =
        earliest == nullptr || team.fetches.begin()->first < earliest->fetches.begin()->first;
    if (earlier) earliest = &team;
  }
  const auto first = earliest->fetches.begin();
  Transfer transfer = std::move(first->second);
  earliest->fetches.erase(first);
  earliest->fetch_virtual_time += static_cast<double>(transfer.bytes) / earliest->weight;
  queued_fetch_bytes_ -= transfer.bytes;
  return transfer;
}

std::optional<Transfer> LinkSchedule::PopWriteBack(LinkActions& actions) {
  TeamQueue* behind = nullptr;
  for (auto& [name, team] : teams_) {
    if (team.write_backs.empty()) continue;
    if (behind == nullptr || team.write_back_virtual_time < behind->write_back_virtual_time) {
      behind = &team;
    }
  }
  if (behind == nullptr) return std::nullopt;
  // A block larger than the maximum credit starts at full credit and leaves the credit negative.
  const double max_credit = kMaxCreditSeconds * options_.nominal_bytes_per_second;
  const double needed =
      std::min(static_cast<double>(behind->write_backs.front().bytes), max_credit);
  if (credit_ < needed) {
    const double rate = options_.write_back_share * options_.nominal_bytes_per_second;
    const double wait = rate > 0 ? (needed - credit_) / rate : kNoCreditRetrySeconds;
    actions.retry_after = Micros(static_cast<int64_t>(std::ceil(wait * 1e6)));
    return std::nullopt;
  }
  Transfer transfer = std::move(behind->write_backs.front());
  behind->write_backs.pop_front();
  write_back_virtual_time_ = std::max(write_back_virtual_time_, behind->write_back_virtual_time);
  behind->write_back_virtual_time += static_cast<double>(transfer.bytes) / behind->weight;
  write_back_bytes_ -= transfer.bytes;
  credit_ -= static_cast<double>(transfer.bytes);
  return transfer;
}

// Write-back earns its share of the time in which no fetch is running or queued.
void LinkSchedule::AccrueCredit(TimePoint now) {
  const double elapsed = ToSeconds(std::max(now - credit_updated_at_, Duration(0)));
  credit_updated_at_ = std::max(credit_updated_at_, now);
  const bool fetching = running_ && running_->kind == TransferKind::kFetch;
  if (fetching || queued_fetch_bytes_ > 0) return;
  const double nominal = options_.nominal_bytes_per_second;
  credit_ = std::min(credit_ + elapsed * options_.write_back_share * nominal,
                     kMaxCreditSeconds * nominal);
}

LinkActions LinkSchedule::Next(TimePoint now) {
  LinkActions actions;
  AccrueCredit(now);
  DropExpired(now, actions);
  if (IsSlow(now)) DropWriteBacks(actions);
  if (running_) return actions;
  actions.start = PopFetch();
  if (!actions.start) actions.start = PopWriteBack(actions);
  if (actions.start) Start(*actions.start, now);
  return actions;
}

void LinkSchedule::Start(const Transfer& transfer, TimePoint now) {
  rate_ = Rate(now);
  rate_updated_at_ = now;
  running_ = transfer;
  running_bytes_done_ = 0;
}

void LinkSchedule::Progress(int64_t bytes, TimePoint now) {
  if (!running_ || bytes <= 0) return;
  running_bytes_done_ += bytes;
  const double elapsed = ToSeconds(now - rate_updated_at_);
  if (elapsed <= 0) return;
  // The weight grows with the elapsed time, so that the estimate does not depend on the number of
  // progress reports.
  const double weight = 1 - std::exp(-elapsed / kRateTimeConstantSeconds);
  rate_ += (static_cast<double>(bytes) / elapsed - rate_) * weight;
  rate_updated_at_ = now;
}

void LinkSchedule::Finish(TimePoint now) {
  if (!running_) return;
  AccrueCredit(now);
  rate_ = Rate(now);
  rate_updated_at_ = now;
  running_.reset();
}

double LinkSchedule::Rate(TimePoint now) const {
  if (running_) {
    const Duration stalled = now - rate_updated_at_ - kProgressGracePeriod;
    return stalled <= Duration(0)
               ? rate_
               : rate_ * std::exp(-ToSeconds(stalled) / kRateTimeConstantSeconds);
  }
  const double idle_seconds = ToSeconds(std::max(now - rate_updated_at_, Duration(0)));
  const double nominal = options_.nominal_bytes_per_second;
  return nominal + (rate_ - nominal) * std::exp(-idle_seconds / kRecoveryTimeConstantSeconds);
}

bool LinkSchedule::IsSlow(TimePoint now) const {
  return Rate(now) < kSlowRateRatio * options_.nominal_bytes_per_second;
}

int64_t LinkSchedule::QueuedBytes() const {
  const int64_t rest = running_ ? std::max<int64_t>(running_->bytes - running_bytes_done_, 0) : 0;
  return queued_fetch_bytes_ + rest;
}

}  // namespace fuchsiaweir
