#ifndef FUCHSIAWEIR_CORE_ROLLOUT_LEADER_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_LEADER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/rollout_evidence.h"
#include "core/rollout_member.h"
#include "core/rollout_schedule.h"

namespace fuchsiaweir {

/// What a gateway tells the leader of a rollout.
struct RolloutReport {
  std::string sender;
  int64_t start = 0;  ///< Identifies the start of the sender, which counts anew after a restart.
  /// Time since the order at the sending of the report. The receiver's own time since the order
  /// tells from it how old the report is, also if it was held up on its way.
  Duration elapsed{0};
  RolloutStep step = RolloutStep::kCanary;  ///< That the sender has taken over.
  bool says_bad = false;                    ///< The sender has stopped on its own evidence.
  int64_t present_requests = 0;             ///< The sender's requests at runners of other versions.
  CountsByRoute counts;                     ///< Since the order; may lack routes.
};

/// The leader's part in a rollout. All gateways keep the reports that reach them, so that each can
/// take over; it has no state of its own that must last.
class RolloutLeader {
 public:
  /// `rollback` is the longest time in which a version gets requests after many bad answers.
  explicit RolloutLeader(Duration rollback) : rollback_(rollback) {}

  /// Applies a report, also to the member of this process.
  void OnReport(const RolloutReport& report, RolloutMember& member, TimePoint now);

  /// Time between two reports of a gateway. With many gateways the leader would otherwise get more
  /// than it may; the time stays far below that in which a bad version must be stopped.
  static Duration ReportPeriod(size_t gateways);

  /// Decides the step for all gateways, and applies it to the member of this process. `live` are
  /// the live gateways with this one, whose report is `own`. Gateways that were live during the
  /// rollout count on, since one that is not heard may be unreachable only from here.
  RolloutDecision Decide(const RolloutReport& own, const std::vector<std::string>& live,
                         bool target_listed, Duration within, RolloutMember& member, TimePoint now);

  /// The last verdict about all evidence.
  const RouteVerdict& verdict() const { return verdict_; }
  RolloutEvidence& evidence() { return evidence_; }

 private:
  /// A report without its counts, and when it was sent.
  struct Heard {
    RolloutReport report;
    TimePoint sent_at;
  };

  /// Judges the evidence; lasting doubts about a version with many bad answers count as bad.
  void Judge(TimePoint now);

  Duration rollback_;
  std::optional<TimePoint> doubted_since_;
  RolloutEvidence evidence_;
  std::map<std::string, Heard> heard_;  ///< By gateway.
  std::set<std::string> known_;         ///< Gateways that were live or heard during the rollout.
  RouteVerdict verdict_;
  RolloutStep step_ = RolloutStep::kCanary;
  TimePoint step_since_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_LEADER_H_
