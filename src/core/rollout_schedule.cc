#include "core/rollout_schedule.h"

#include <absl/strings/str_cat.h>

namespace fuchsiaweir {
namespace {

// Shares of the time limit. With 12 s: 7.2 s of canary, 1.2 s of shift, then at least 1.4 s in
// which the old version finishes, and 2.1 s for the write of the result and for doubts.
constexpr double kCanaryShare = 0.6;
/// A doubtful version, or a leader that hears few gateways, gets so much time for evidence.
constexpr double kLongCanaryShare = 0.75;
constexpr double kShiftShare = 0.1;
/// Earliest end: a version that is bad only under full load shows after the shift.
constexpr double kEndShare = 0.82;
/// Doubts that remain, and gateways that are silent, hold the end up to here.
constexpr double kLateEndShare = 0.92;

bool Reached(Duration elapsed, Duration within, double share) {
  return static_cast<double>(elapsed.count()) >= share * static_cast<double>(within.count());
}

RolloutDecision Stop(std::string reason) {
  return {RolloutStep::kStopped, RolloutState::kReverted, std::move(reason)};
}

std::string Describe(const RouteVerdict& evidence) {
  return absl::StrCat(std::string(NameIn(kRolloutVerdictNames, evidence.verdict)), " on route ",
                      evidence.route, ": ", evidence.target.bad(), " of ", evidence.target.answers,
                      " answers are bad, before ", evidence.present.bad(), " of ",
                      evidence.present.answers);
}

RolloutDecision DecideCanary(const RolloutSituation& now) {
  const bool long_enough = Reached(now.elapsed, now.within, kLongCanaryShare);
  if (Reached(now.elapsed, now.within, 1)) return Stop("the time limit passed on trial");
  if (!Reached(now.elapsed, now.within, kCanaryShare)) return {RolloutStep::kCanary, {}, ""};
  if (!now.target_listed) return Stop("no runner of the version is listed");
  if (now.evidence.verdict == RolloutVerdict::kDoubtful) {
    if (long_enough) return Stop(Describe(now.evidence));
    return {RolloutStep::kCanary, {}, "doubtful"};
  }
  if (now.heard * 2 < now.gateways) {
    if (long_enough) return Stop("most gateways are not heard");
    return {RolloutStep::kCanary, {}, "most gateways are not heard"};
  }
  return {RolloutStep::kShift, {}, "good on all routes"};
}

RolloutDecision DecideFinish(const RolloutSituation& now) {
  const bool late = Reached(now.elapsed, now.within, kLateEndShare);
  if (!Reached(now.elapsed, now.within, kEndShare)) return {RolloutStep::kFinish, {}, ""};
  if (now.evidence.verdict == RolloutVerdict::kDoubtful) {
    if (late) return Stop(Describe(now.evidence));
    return {RolloutStep::kFinish, {}, "doubtful"};
  }
  // The old runners stop at once when the rollout is done, which would cut their requests.
  if (now.unfinished > 0) return {RolloutStep::kFinish, {}, "old runners have requests"};
  const bool enough_heard = late && now.heard * 2 >= now.gateways;
  if (now.heard < now.gateways && !enough_heard) {
    return {RolloutStep::kFinish, {}, "gateways are silent"};
  }
  return {RolloutStep::kFinish, RolloutState::kDone, "good on all routes"};
}

}  // namespace

RolloutDecision DecideRollout(const RolloutSituation& situation) {
  if (situation.step == RolloutStep::kStopped) return Stop("stopped before");
  if (situation.evidence.verdict == RolloutVerdict::kBad) {
    return Stop(Describe(situation.evidence));
  }
  if (situation.gateway_says_bad) return Stop("bad by the evidence of one gateway");
  switch (situation.step) {
    case RolloutStep::kCanary:
      return DecideCanary(situation);
    case RolloutStep::kShift:
      if (Reached(situation.in_step, situation.within, kShiftShare)) {
        return {RolloutStep::kFinish, {}, "shifted"};
      }
      return {RolloutStep::kShift, {}, ""};
    default:
      return DecideFinish(situation);
  }
}

}  // namespace fuchsiaweir
