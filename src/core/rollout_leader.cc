#include "core/rollout_leader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr Duration kMinReportPeriod = Millis(500);
/// Reports have about 300 bytes: 40 a second are 12 KB/s.
constexpr Duration kPeriodPerGateway = Millis(25);
/// Periods for which a report holds: one report may be lost.
constexpr int64_t kReportPeriods = 2;
constexpr Duration kReportDelay = Millis(300);
/// Bad answers from which the time for the rollback counts.
constexpr int64_t kManyBadAnswers = 50;

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

Duration RolloutLeader::ReportPeriod(size_t gateways) {
  return std::max(kMinReportPeriod, kPeriodPerGateway * static_cast<int64_t>(gateways));
}

void RolloutLeader::Judge(TimePoint now) {
  verdict_ = JudgeEvidence(evidence_, step_ != RolloutStep::kCanary, now);
  int64_t bad = 0;
  for (const auto& [route, counts] : evidence_.Total()) bad += counts.target.bad();
  if (verdict_.verdict != RolloutVerdict::kDoubtful || bad < kManyBadAnswers) {
    doubted_since_.reset();
    return;
  }
  if (!doubted_since_) doubted_since_ = now;
  // The other half is for the messages that stop the gateways.
  if (now - *doubted_since_ >= rollback_ / 2) verdict_.verdict = RolloutVerdict::kBad;
}

RolloutDecision RolloutLeader::Decide(const RolloutReport& own,
                                      const std::vector<std::string>& live, bool target_listed,
                                      Duration within, RolloutMember& member, TimePoint now) {
  OnReport(own, member, now);
  if (member.step() != step_ || step_since_ == TimePoint{}) {
    step_ = member.step();
    step_since_ = now;
  }
  Judge(now);
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
  const Duration max_age = ReportPeriod(live.size()) * kReportPeriods + kReportDelay;
  for (const std::string& name : known_) {
    const auto heard = heard_.find(name);
    if (heard == heard_.end() || now - heard->second.sent_at > max_age) continue;
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
