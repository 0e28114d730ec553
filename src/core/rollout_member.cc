#include "core/rollout_member.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Age of the leader's last message from which it says nothing any more. Leaders send every 500 ms.
constexpr Duration kMaxLeaderAge = Seconds(2);
/// An answer is slow from this multiple of the present version's median time on.
constexpr int64_t kSlowFactorTenths = 25;
/// Part of the objective below which no answer is slow. Answers of a few milliseconds take several
/// times as long whenever the host has other work.
constexpr int64_t kObjectiveDivisor = 20;

}  // namespace

bool IsSlow(const RolloutAnswer& answer) {
  return answer.present_median && !answer.cold &&
         answer.time > answer.objective / kObjectiveDivisor &&
         answer.time * 10 > *answer.present_median * kSlowFactorTenths;
}

void RolloutMember::OnStep(RolloutStep step, Duration elapsed, TimePoint now) {
  // The gateway that saw the order first knows its age best.
  ordered_at_ = std::min(ordered_at_, now - elapsed);
  step_ = std::max(step_, step);
}

void RolloutMember::OnLeader(Duration elapsed, TimePoint now) {
  ordered_at_ = std::min(ordered_at_, now - elapsed);
  confirmed_at_ = std::max(confirmed_at_.value_or(elapsed), elapsed);
}

bool RolloutMember::Confirmed(TimePoint now) const {
  return confirmed_at_ && Elapsed(now) - *confirmed_at_ < kMaxLeaderAge;
}

VersionAccess RolloutMember::Access(TimePoint now) const {
  if (says_bad()) return VersionAccess::kPresent;
  switch (step_) {
    case RolloutStep::kCanary:
      return Confirmed(now) ? VersionAccess::kTrial : VersionAccess::kPresent;
    case RolloutStep::kShift:
      // A process that stood still may not know yet that the version is bad. The present version
      // still serves, since the rollout does not end before all gateways are in the next step.
      return Confirmed(now) ? VersionAccess::kPreferTarget : VersionAccess::kPresent;
    case RolloutStep::kFinish:
      return VersionAccess::kTarget;
    case RolloutStep::kStopped:
      break;
  }
  return VersionAccess::kPresent;
}

bool RolloutMember::TakesTrial(const std::string& route, TimePoint now) const {
  return Access(now) == VersionAccess::kTrial && share_.HasRoom(route);
}

void RolloutMember::OnPlacedOnTarget(const std::string& route) {
  if (step_ == RolloutStep::kCanary) share_.OnTrial(route);
}

void RolloutMember::OnAnswer(const RolloutAnswer& answer) {
  RouteCounts& counts = counts_[answer.route];
  VersionCounts& version = answer.by_target ? counts.target : counts.present;
  ++version.answers;
  if (answer.failed) {
    ++version.failures;
  } else if (IsSlow(answer)) {
    ++version.slow;
  }
}

void RolloutMember::JudgeOwn() {
  if (!says_bad()) own_ = JudgeVersion(counts_, kGatewayLevels);
}

}  // namespace fuchsiaweir
