#include "core/crash_suspects.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// Crashes after which requests with a trait are refused. More than the runners to which routes
/// usually send a request, so that a sound one is not refused for its own retries.
constexpr int64_t kMaxCrashes = 3;
/// Pauses before another request is sent, which clears a trait that was refused by mistake. The
/// second one follows a failed trial, or is the first where the runners are known to be sound.
constexpr std::array<Duration, 3> kPauses = {Seconds(2), Seconds(15), std::chrono::hours(1)};
/// Time between the moments at which two gateways may take a request on trial.
constexpr Duration kTrialSpacing = Seconds(2);
/// Time in which a request on trial is answered or has crashed its runner.
constexpr Duration kTrialDuration = Seconds(5);
/// Answers to other requests since the first crash. Without them the runners themselves may be the
/// cause, and refusing a trait would help nobody.
constexpr int64_t kMinOtherAnswers = 5;
/// Reports of a runner within this time are of one crash: several copies of a request may be lost
/// in it, and the times in repeated reports vary. A restart takes longer.
constexpr Duration kSameCrash = Millis(500);
constexpr size_t kMaxRecords = 10'000;
constexpr absl::string_view kRequestPrefix = "request:";

}  // namespace

std::vector<std::string> RequestTraits(const std::string& digest, const std::string& model,
                                       const std::vector<std::string>& shared_parts) {
  std::vector<std::string> traits{absl::StrCat(kRequestPrefix, digest)};
  for (const std::string& id : shared_parts) {
    traits.push_back(absl::StrCat("part:", model, ":", id));
  }
  return traits;
}

std::vector<std::string> CrashSuspects::OnCrash(const CrashReport& report, TimePoint now) {
  std::vector<std::string> counted;
  for (const std::string& trait : report.traits) {
    Record& record = records_[trait];
    if (record.crashed_runners == 0) {
      record.service = report.service;
      record.whole_request = absl::StartsWith(trait, kRequestPrefix);
      record.answers_before_first = Answers(report.service);
    }
    if (CountCrash(record, report)) counted.push_back(trait);
  }
  EvictRecords(now);
  return counted;
}

bool CrashSuspects::CountCrash(Record& record, const CrashReport& report) {
  if (report.lost_at <= record.cleared_at) return false;
  const auto [lost_at, first] = record.lost_at.try_emplace(report.runner, report.lost_at);
  if (!first && report.sent_at < lost_at->second + kSameCrash) return false;
  lost_at->second = report.lost_at;
  const bool sent_after_last = record.crashes == 0 || report.sent_at >= record.last_crash_at;
  if (record.whole_request && sent_after_last && Suspected(record)) ++record.failed_trials;
  ++record.crashed_runners;
  if (sent_after_last) ++record.crashes;
  if (!sent_after_last && !record.whole_request) return false;
  record.last_crash_at = std::max(record.last_crash_at, report.lost_at);
  return true;
}

std::vector<std::string> CrashSuspects::OnAnswer(const std::string& service,
                                                 const std::vector<std::string>& traits,
                                                 TimePoint began_at) {
  ++answers_[service];
  return Clear(traits, began_at);
}

std::vector<std::string> CrashSuspects::Clear(const std::vector<std::string>& traits,
                                              TimePoint answered_at) {
  std::vector<std::string> cleared;
  for (const std::string& trait : traits) {
    const auto found = records_.find(trait);
    if (found == records_.end() || answered_at <= found->second.last_crash_at) continue;
    if (found->second.crashed_runners > 0) cleared.push_back(trait);
    // The record stays, since reports of earlier crashes may still come.
    found->second = {};
    found->second.cleared_at = answered_at;
    found->second.last_crash_at = answered_at;
  }
  return cleared;
}

std::optional<TimePoint> CrashSuspects::Admit(const std::vector<std::string>& traits,
                                              const std::string& self,
                                              const std::vector<std::string>& gateways,
                                              TimePoint now) {
  std::optional<TimePoint> until = RefusedUntil(traits, now);
  std::vector<Record*> on_trial;
  for (const std::string& trait : traits) {
    const auto found = records_.find(trait);
    if (found == records_.end() || !Suspected(found->second)) continue;
    Record& record = found->second;
    const std::vector<std::string> order = RendezvousTop(trait, gateways, gateways.size());
    const auto turn = std::find(order.begin(), order.end(), self) - order.begin();
    const TimePoint eligible_at = record.last_crash_at + Pause(record) + kTrialSpacing * turn;
    const TimePoint end = std::max(eligible_at, record.trial_until);
    if (end > now) until = std::max(until.value_or(end), end);
    on_trial.push_back(&record);
  }
  if (until) return until;
  for (Record* record : on_trial) record->trial_until = now + kTrialDuration;
  return std::nullopt;
}

std::vector<std::string> CrashSuspects::Suspected(const std::vector<std::string>& traits) const {
  std::vector<std::string> suspected;
  for (const std::string& trait : traits) {
    const auto found = records_.find(trait);
    if (found != records_.end() && Suspected(found->second)) suspected.push_back(trait);
  }
  return suspected;
}

void CrashSuspects::OnTrial(const std::vector<std::string>& traits, TimePoint now) {
  for (const std::string& trait : traits) {
    const auto found = records_.find(trait);
    if (found != records_.end()) found->second.trial_until = now + kTrialDuration;
  }
}

bool CrashSuspects::RunnersAreSound(const Record& record) const {
  return Answers(record.service) - record.answers_before_first >= kMinOtherAnswers;
}

bool CrashSuspects::Suspected(const Record& record) const {
  if (record.whole_request) return record.crashed_runners >= kMaxCrashes;
  return record.crashes >= kMaxCrashes && RunnersAreSound(record);
}

Duration CrashSuspects::Pause(const Record& record) const {
  const int64_t failed_trials =
      record.whole_request ? record.failed_trials : record.crashes - kMaxCrashes;
  const auto index = static_cast<size_t>(failed_trials + (RunnersAreSound(record) ? 1 : 0));
  return kPauses[std::min(index, kPauses.size() - 1)];
}

std::optional<TimePoint> CrashSuspects::RefusedUntil(const std::vector<std::string>& traits,
                                                     TimePoint now) const {
  std::optional<TimePoint> until;
  for (const std::string& trait : traits) {
    const auto found = records_.find(trait);
    if (found == records_.end()) continue;
    const Record& record = found->second;
    if (!Suspected(record)) continue;
    const TimePoint end = record.last_crash_at + Pause(record);
    if (end > now) until = std::max(until.value_or(end), end);
  }
  return until;
}

bool CrashSuspects::MayRetry(const std::vector<std::string>& traits) const {
  return std::none_of(traits.begin(), traits.end(),
                      [this](const std::string& trait) { return Crashes(trait) >= kMaxCrashes; });
}

int64_t CrashSuspects::size() const {
  return std::count_if(records_.begin(), records_.end(),
                       [](const auto& entry) { return entry.second.crashed_runners > 0; });
}

int64_t CrashSuspects::Crashes(const std::string& trait) const {
  const auto found = records_.find(trait);
  if (found == records_.end()) return 0;
  const Record& record = found->second;
  return record.whole_request ? record.crashed_runners : record.crashes;
}

int64_t CrashSuspects::OtherAnswers(const std::string& trait) const {
  const auto found = records_.find(trait);
  if (found == records_.end()) return 0;
  return Answers(found->second.service) - found->second.answers_before_first;
}

int64_t CrashSuspects::Answers(const std::string& service) const {
  const auto found = answers_.find(service);
  return found == answers_.end() ? 0 : found->second;
}

void CrashSuspects::EvictRecords(TimePoint now) {
  std::erase_if(records_, [now](const auto& entry) {
    return now - entry.second.last_crash_at >= kPauses.back();
  });
  while (records_.size() > kMaxRecords) {
    records_.erase(
        std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.last_crash_at < b.second.last_crash_at;
        }));
  }
}

}  // namespace fuchsiaweir
