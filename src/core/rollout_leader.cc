#include "core/rollout_leader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Gateways report every 500 ms; one report may be lost.
constexpr Duration kMaxReportAge = Millis(1300);

}  // namespace

void RolloutLeader::OnReport(const RolloutReport& report, RolloutMember& member, TimePoint now) {
  member.OnStep(report.step, report.elapsed, now);
  evidence_.OnCounts(absl::StrCat(report.sender, "#", report.start), report.counts);
  known_.insert(report.sender);
  Heard& heard = heard_[report.sender];
  const TimePoint sent_at = now - std::max(Duration{0}, member.Elapsed(now) - report.elapsed);
  if (sent_at < heard.sent_at) return;
  heard.report = report;
  heard.report.counts.clear();
  heard.sent_at = sent_at;
}

RolloutDecision RolloutLeader::Decide(const RolloutReport& own,
                                      const std::vector<std::string>& live, bool target_listed,
                                      Duration within, RolloutMember& member, TimePoint now) {
  OnReport(own, member, now);
  if (member.step() != step_ || step_since_ == TimePoint{}) {
    step_ = member.step();
    step_since_ = now;
  }
  verdict_ = JudgeEvidence(evidence_, step_ != RolloutStep::kCanary, now);
  RolloutSituation situation;
  situation.step = step_;
  situation.elapsed = member.Elapsed(now);
  situation.in_step = now - step_since_;
  situation.within = within;
  situation.evidence = verdict_;
  situation.target_listed = target_listed;
  known_.insert(live.begin(), live.end());
  situation.gateways = static_cast<int64_t>(known_.size());
  situation.heard = 0;
  for (const std::string& name : known_) {
    const auto heard = heard_.find(name);
    if (heard == heard_.end() || now - heard->second.sent_at > kMaxReportAge) continue;
    const RolloutReport& report = heard->second.report;
    ++situation.heard;
    situation.gateway_says_bad = situation.gateway_says_bad || report.says_bad;
    const bool finished = report.step == RolloutStep::kFinish && report.present_requests == 0;
    situation.unfinished += finished ? 0 : 1;
  }
  RolloutDecision decision = DecideRollout(situation);
  member.OnStep(decision.step, member.Elapsed(now), now);
  member.OnLeader(member.Elapsed(now), now);
  return decision;
}

}  // namespace fuchsiaweir
