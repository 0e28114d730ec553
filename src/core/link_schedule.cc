#include "core/link_schedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace fuchsiaweir {
namespace {

// How far a team may get ahead of others that wait, as time of the whole link. Within it the
// earliest deadline decides. More favours urgent fetches, less favours equal shares.
constexpr double kLeadSeconds = 0.1;

// Write-back saved up during a quiet time is limited to this much time of the whole link, or the
// link would be taken for long just when requests arrive.
constexpr double kCreditSeconds = 0.5;

// Time constant of the rate estimate: a link that drops to a tenth is seen as slow within a second.
constexpr double kRateSeconds = 0.5;

// Silence shorter than this is a normal gap between two reports of progress.
constexpr Duration kSilenceGrace = Millis(100);

// An idle link returns to its nominal estimate with this time constant. Without it, a link that
// was slow once would get no fetch and never show that it has recovered.
constexpr double kRecoverySeconds = 30;

constexpr double kSlowRatio = 0.25;

}  // namespace

LinkSchedule::LinkSchedule(const LinkOptions& options, TimePoint now)
    : options_(options), credited_(now), rate_(options.nominal_bytes_per_second), rate_time_(now) {}

void LinkSchedule::SetTeamWeight(const std::string& team, double weight) {
  teams_[team].weight = weight;
}

bool LinkSchedule::Add(const Transfer& transfer, TimePoint now) {
  const bool fetch = transfer.kind == TransferKind::kFetch;
  if (!fetch && write_back_bytes_ + transfer.bytes > options_.max_write_back_bytes) return false;
  if (!fetch && Slow(now)) return false;
  AccrueCredit(now);
  TeamQueue& team = teams_[transfer.team];
  // A team that was away starts level with the others: it keeps no claim from that time.
  if (fetch) {
    if (team.fetches.empty()) team.fetched = std::max(team.fetched, fetch_floor_);
    team.fetches.emplace(transfer.deadline, transfer);
    fetch_bytes_ += transfer.bytes;
  } else {
    if (team.write_backs.empty()) team.written = std::max(team.written, written_floor_);
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
      fetch_bytes_ -= fetch->second.bytes;
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
      fetch_bytes_ -= first->second.bytes;
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

// The team furthest behind is always among the eligible ones, and one that gets ahead loses its
// turn. So each waiting team is served after a bounded number of bytes, whatever the deadlines.
std::optional<Transfer> LinkSchedule::TakeFetch() {
  const TeamQueue* behind = nullptr;
  for (const auto& [name, team] : teams_) {
    if (team.fetches.empty()) continue;
    if (behind == nullptr || team.fetched < behind->fetched) behind = &team;
  }
  if (behind == nullptr) return std::nullopt;
  const double limit = behind->fetched + kLeadSeconds * options_.nominal_bytes_per_second;
  fetch_floor_ = std::max(fetch_floor_, behind->fetched);
  TeamQueue* urgent = nullptr;
  for (auto& [name, team] : teams_) {
    if (team.fetches.empty() || team.fetched > limit) continue;
    const bool earlier =
        urgent == nullptr || team.fetches.begin()->first < urgent->fetches.begin()->first;
    if (earlier) urgent = &team;
  }
  const auto first = urgent->fetches.begin();
  Transfer transfer = std::move(first->second);
  urgent->fetches.erase(first);
  urgent->fetched += static_cast<double>(transfer.bytes) / urgent->weight;
  fetch_bytes_ -= transfer.bytes;
  return transfer;
}

std::optional<Transfer> LinkSchedule::TakeWriteBack(LinkActions& actions) {
  TeamQueue* behind = nullptr;
  for (auto& [name, team] : teams_) {
    if (team.write_backs.empty()) continue;
    if (behind == nullptr || team.written < behind->written) behind = &team;
  }
  if (behind == nullptr) return std::nullopt;
  // A block larger than the credit can become goes out on full credit and leaves a debt.
  const double most = kCreditSeconds * options_.nominal_bytes_per_second;
  const double needed = std::min(static_cast<double>(behind->write_backs.front().bytes), most);
  if (credit_ < needed) {
    const double rate = options_.write_back_share * options_.nominal_bytes_per_second;
    const double wait = rate > 0 ? (needed - credit_) / rate : 3600;
    actions.retry_after = Micros(static_cast<int64_t>(std::ceil(wait * 1e6)));
    return std::nullopt;
  }
  Transfer transfer = std::move(behind->write_backs.front());
  behind->write_backs.pop_front();
  written_floor_ = std::max(written_floor_, behind->written);
  behind->written += static_cast<double>(transfer.bytes) / behind->weight;
  write_back_bytes_ -= transfer.bytes;
  credit_ -= static_cast<double>(transfer.bytes);
  return transfer;
}

// Time in which no fetch runs or waits is spare capacity; write-back gets its share of it.
void LinkSchedule::AccrueCredit(TimePoint now) {
  const double elapsed = ToSeconds(std::max(now - credited_, Duration(0)));
  credited_ = std::max(credited_, now);
  const bool fetching = running_ && running_->kind == TransferKind::kFetch;
  if (fetching || fetch_bytes_ > 0) return;
  const double nominal = options_.nominal_bytes_per_second;
  credit_ =
      std::min(credit_ + elapsed * options_.write_back_share * nominal, kCreditSeconds * nominal);
}

LinkActions LinkSchedule::Next(TimePoint now) {
  LinkActions actions;
  AccrueCredit(now);
  DropExpired(now, actions);
  if (Slow(now)) DropWriteBacks(actions);
  if (running_) return actions;
  actions.start = TakeFetch();
  if (!actions.start) actions.start = TakeWriteBack(actions);
  if (actions.start) Start(*actions.start, now);
  return actions;
}

void LinkSchedule::Start(const Transfer& transfer, TimePoint now) {
  rate_ = Rate(now);
  rate_time_ = now;
  running_ = transfer;
  running_done_ = 0;
}

void LinkSchedule::Progress(int64_t bytes, TimePoint now) {
  if (!running_ || bytes <= 0) return;
  running_done_ += bytes;
  const double elapsed = ToSeconds(now - rate_time_);
  if (elapsed <= 0) return;
  // The weight grows with the time covered, so that the number of reports does not matter.
  const double weight = 1 - std::exp(-elapsed / kRateSeconds);
  rate_ += (static_cast<double>(bytes) / elapsed - rate_) * weight;
  rate_time_ = now;
}

void LinkSchedule::Finish(TimePoint now) {
  if (!running_) return;
  AccrueCredit(now);
  rate_ = Rate(now);
  rate_time_ = now;
  running_.reset();
}

double LinkSchedule::Rate(TimePoint now) const {
  if (running_) {
    const Duration silence = now - rate_time_ - kSilenceGrace;
    return silence <= Duration(0) ? rate_ : rate_ * std::exp(-ToSeconds(silence) / kRateSeconds);
  }
  const double idle = ToSeconds(std::max(now - rate_time_, Duration(0)));
  const double nominal = options_.nominal_bytes_per_second;
  return nominal + (rate_ - nominal) * std::exp(-idle / kRecoverySeconds);
}

bool LinkSchedule::Slow(TimePoint now) const {
  return Rate(now) < kSlowRatio * options_.nominal_bytes_per_second;
}

int64_t LinkSchedule::QueuedBytes() const {
  const int64_t rest = running_ ? std::max<int64_t>(running_->bytes - running_done_, 0) : 0;
  return fetch_bytes_ + rest;
}

}  // namespace fuchsiaweir
