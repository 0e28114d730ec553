#ifndef FUCHSIAWEIR_CORE_ROLLOUT_MEMBER_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/rollout_evidence.h"
#include "core/rollout_schedule.h"
#include "core/rollout_share.h"

namespace fuchsiaweir {

/// Which versions of a service get requests during a rollout.
enum class VersionAccess {
  kPresent,       ///< The present ones only.
  kTrial,         ///< The present ones, and the target within the gateway's share.
  kPreferTarget,  ///< The target, and what it does not take the present ones.
  kTarget,        ///< The target only.
};

/// An answer of a runner, or the lack of one.
struct RolloutAnswer {
  std::string route;
  bool by_target = false;
  bool failed = false;
  bool cold = false;  ///< The runner was cold: that it is slow says nothing of its version.
  Duration time{0};   ///< From the sending to the answer, of a stream to its first event.
  /// Median time of the present version's recent answers on the route; nothing if there are few.
  std::optional<Duration> present_median;
  Duration objective{0};  ///< Of the route; times far below it are of no concern to callers.
};

/// Whether the answer took several times the present version's median time, and a relevant share of
/// the route's objective. False for a cold runner and while the median is not known.
bool IsSlow(const RolloutAnswer& answer);

/// One gateway's part in a rollout: its share of the requests, its evidence, and the step that it
/// has taken over from the leader.
///
/// Load pattern: messages are lost, late or repeated, and processes stand still. The bound of the
/// requests to a version on trial holds without any message; a gateway without a fresh one sends
/// nothing to it.
class RolloutMember {
 public:
  /// `slack` is this gateway's part; 0 if it joined the rollout after the order.
  RolloutMember(double share, int64_t slack, TimePoint now)
      : share_(share, slack), ordered_at_(now) {}

  /// Applies the step of a leader, or of another gateway, that was sent at `elapsed` after the
  /// order. Steps only advance.
  void OnStep(RolloutStep step, Duration elapsed, TimePoint now);
  /// Confirms the step: a leader's message sent at `elapsed` is proof that it is in force.
  void OnLeader(Duration elapsed, TimePoint now);

  VersionAccess Access(TimePoint now) const;
  /// Whether a new request of the route may go to the target on trial.
  bool TakesTrial(const std::string& route, TimePoint now) const;
  /// Counts a request that was placed on the target.
  void OnPlacedOnTarget(const std::string& route);
  /// Counts a request that was sent to any version for the first time.
  void OnSent(const std::string& route) { share_.OnSent(route); }
  void OnAnswer(const RolloutAnswer& answer);
  /// Judges this gateway's own evidence.
  void JudgeOwn();

  /// Time since the order, as far as any gateway that was heard knows.
  Duration Elapsed(TimePoint now) const { return now - ordered_at_; }
  RolloutStep step() const { return step_; }
  bool says_bad() const { return own_.verdict == RolloutVerdict::kBad; }
  const RouteVerdict& own_verdict() const { return own_; }
  const CountsByRoute& counts() const { return counts_; }
  const RolloutShare& share() const { return share_; }

 private:
  bool Confirmed(TimePoint now) const;

  RolloutShare share_;
  TimePoint ordered_at_;
  RolloutStep step_ = RolloutStep::kCanary;
  std::optional<Duration> confirmed_at_;  ///< Time since the order of the newest leader message.
  CountsByRoute counts_;
  RouteVerdict own_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_MEMBER_H_
