#include "gateway/rollout_control.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/millis_text.h"
#include "core/rendezvous.h"
#include "core/unix_time.h"
#include "net/log.h"
#include "net/timer_service.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kTickPeriod = Millis(200);
/// Longest time between two messages of the leader; the members take it for dead after 2 s.
constexpr Duration kMaxAnnouncementPeriod = Millis(800);
/// Each report of this number has all counts, since messages may be lost.
constexpr int64_t kReportsPerFullReport = 8;
/// Time without a hello from which a gateway is not chosen as leader: three hellos. Shorter than
/// the time in which the members of a rollout must stop a bad version.
constexpr Duration kLeaderTimeout = Millis(2500);
constexpr Duration kWriteRetryDelay = Millis(300);
/// Time in which operators write again, after a restore of the store, orders that it has lost.
constexpr Duration kRewriteTime = Seconds(10);
/// Time for the desired state to name a service after the order for it.
constexpr Duration kServiceWait = Seconds(3);

RolloutState FinalStateOr(const std::optional<RolloutState>& state) {
  return state.value_or(RolloutState::kRunning);
}

bool IsFinal(const std::optional<RolloutState>& state) {
  return FinalStateOr(state) != RolloutState::kRunning;
}

}  // namespace

RolloutControl::RolloutControl(ComponentRegistry& components, FleetView& view)
    : io_(components.io()),
      view_(view),
      link_(components.Find<PeerLink>("peer_link")),
      metrics_(components.Find<Metrics>("metrics")),
      enabled_(view.settings().rollouts_enabled()),
      start_(UnixMillis()) {
  if (!enabled_) return;
  view_.SetRolloutListener([this](const platform::StoredObject& object,
                                  const ChangeOrigin& origin) { OnObject(object, origin); });
  components.Find<TimerService>("timer").Subscribe("rollouts", kTickPeriod,
                                                   [this](TimePoint now) { Tick(now); });
}

const VersionRule* RolloutControl::Rule(const std::string& service, TimePoint now) {
  if (!enabled_) return nullptr;
  const auto [found, added] = services_.try_emplace(service);
  if (added) Refresh(now);
  const Service& state = found->second;
  const VersionAccess access =
      state.rollout ? state.rollout->member.Access(now) : VersionAccess::kPresent;
  switch (access) {
    case VersionAccess::kPreferTarget:
      return &state.both;
    case VersionAccess::kTarget:
      return &state.target;
    default:
      return &state.present;
  }
}

const VersionRule* RolloutControl::FirstChoice(const ForwardedRequest& request, TimePoint now) {
  const auto found = services_.find(request.service);
  if (!enabled_ || found == services_.end() || !found->second.rollout) return nullptr;
  const Service& state = found->second;
  const RolloutMember& member = state.rollout->member;
  if (member.Access(now) == VersionAccess::kPreferTarget) return &state.target;
  // A request that failed on trial is not put on trial again.
  const bool first_attempt = request.tried.empty() && !request.rollout.sent_before;
  if (!first_attempt || !state.target_listed) return nullptr;
  return member.TakesTrial(request.route->name, now) ? &state.trial : nullptr;
}

bool RolloutControl::MayReceive(const RunnerRecord& runner, TimePoint now) {
  const VersionRule* const rule = Rule(runner.service, now);
  if (rule == nullptr || rule->Allows(runner)) return true;
  const Service& state = services_.at(runner.service);
  return state.rollout && state.rollout->member.Access(now) == VersionAccess::kTrial &&
         state.target.Allows(runner);
}

void RolloutControl::OnPlaced(const ForwardedRequest& request, const std::string& runner) {
  const auto found = services_.find(request.service);
  if (found == services_.end() || !found->second.rollout) return;
  const RunnerState* const state = view_.runner_registry().Find(runner);
  if (state == nullptr || !found->second.target.Allows(state->record)) return;
  found->second.rollout->member.OnPlacedOnTarget(request.route->name);
}

void RolloutControl::OnSent(ForwardedRequest& request, const RunnerState& runner, TimePoint now) {
  if (!enabled_) return;
  const bool first = !std::exchange(request.rollout.sent_before, true);
  request.rollout.sent = true;
  request.rollout.version = runner.record.version;
  request.rollout.cold = runner.Cold(now);
  const auto found = services_.find(request.service);
  if (found == services_.end() || !found->second.rollout || !first) return;
  found->second.rollout->member.OnSent(request.route->name);
}

void RolloutControl::OnAttemptEnd(ForwardedRequest& request, const std::string& runner,
                                  RolloutOutcome outcome) {
  if (!std::exchange(request.rollout.sent, false)) return;
  if (outcome == RolloutOutcome::kNone || request.withdrawn) return;
  const auto found = services_.find(request.service);
  if (found == services_.end()) return;
  Service& service = found->second;
  const bool failed = outcome == RolloutOutcome::kFailed;
  const TimePoint now = SteadyNow();
  // A load of weights breaks runs off on purpose.
  const RunnerState* const state = view_.runner_registry().Find(runner);
  if (failed && state != nullptr && state->ReportFresh(now) &&
      state->report->phase != WeightLoadPhase::kServing) {
    return;
  }
  AnswerTimes& times = service.present_times[request.route->name];
  const bool answered = request.last_byte_at > request.sent_at;
  const TimePoint end = request.first_byte_received ? request.first_byte_at
                        : answered                  ? request.last_byte_at
                                                    : now;
  const RolloutAnswer answer{request.route->name,
                             service.record && request.rollout.version == service.record->target,
                             failed,
                             request.rollout.cold,
                             end - request.sent_at,
                             times.Median(),
                             request.route->objective};
  // A caller that leaves early says nothing of the version, but one whose time is up does.
  if (outcome == RolloutOutcome::kLeft && (answered || !IsSlow(answer))) return;
  const bool present = service.versions.accepted().count(request.rollout.version) > 0;
  if (present && outcome == RolloutOutcome::kServed && !answer.cold) times.Add(answer.time);
  if (!service.rollout || !(answer.by_target || present)) return;
  service.rollout->member.OnAnswer(answer);
}

void RolloutControl::OnMessage(const RolloutEvidenceMessage& message) {
  const auto found = services_.find(message.service);
  if (found == services_.end() || !found->second.rollout) return;
  Service& service = found->second;
  if (service.record->target != message.target) return;
  service.rollout->leader.OnReport(message.report, service.rollout->member, SteadyNow());
}

void RolloutControl::OnMessage(const RolloutStepMessage& message) {
  const auto found = services_.find(message.service);
  if (found == services_.end() || !found->second.rollout) return;
  Service& service = found->second;
  if (service.record->target != message.target) return;
  const TimePoint now = SteadyNow();
  service.rollout->member.OnStep(message.step, message.elapsed, now);
  service.rollout->member.OnLeader(message.elapsed, now);
  LogStep(message.service, service, absl::StrCat("told by ", message.sender), now);
}

void RolloutControl::OnObject(const platform::StoredObject& object, const ChangeOrigin& origin) {
  FollowHistory(SteadyNow());
  Service& service = services_[object.name];
  if (object.removed) return OnRemoved(service);
  const StorePosition position{object.history, object.revision};
  if (position <= service.position) return;
  RolloutRecord record = platform::DecodeRollout(object.name, object.content, object.status);
  if (!record.unusable_status.empty()) {
    LogWarning("rollout_status_unusable",
               {{"service", object.name}, {"status", record.unusable_status}});
  }
  if (origin.older_copy && service.record && service.record->target != record.target) {
    // The copy is from before the known order, which the operator writes again.
    return LogInfo("older_rollout_ignored", {{"service", object.name},
                                             {"target", record.target},
                                             {"known_target", service.record->target}});
  }
  service.position = position;
  OnRecord(std::move(record), service, origin.first_listing);
}

void RolloutControl::OnRemoved(Service& service) {
  if (!service.record) return;
  LogInfo("rollout_removed", {{"service", service.record->service},
                              {"target", service.record->target},
                              {"in_progress", service.rollout ? "yes" : "no"}});
  if (service.rollout) service.versions.OnReverted(service.record->target);
  service.rollout.reset();
  service.result.reset();
  service.record.reset();
}

bool RolloutControl::StatusLost(const Service& service) const {
  const auto known = service.final_states.find(service.record->target);
  return known != service.final_states.end() && !IsFinal(service.record->state) &&
         SteadyNow() < rewrites_until_;
}

void RolloutControl::OnRecord(RolloutRecord record, Service& service, bool first_listing) {
  const std::optional<RolloutRecord> before = std::exchange(service.record, std::move(record));
  const RolloutRecord& current = *service.record;
  if (StatusLost(service)) {
    service.rollout.reset();
    service.result = service.final_states.at(current.target);
    service.reason = "the store has lost the status";
    return;
  }
  // An order for the same version without its final status is a new one.
  const bool same = before && before->target == current.target &&
                    before->problem == current.problem &&
                    (!IsFinal(before->state) || IsFinal(current.state));
  if (same) {
    if (FinalStateOr(before->state) != FinalStateOr(current.state)) OnState(service);
    return;
  }
  if (service.rollout && before) {
    LogWarning("rollout_superseded", {{"service", current.service},
                                      {"target", before->target},
                                      {"next_target", current.target}});
    service.versions.OnReverted(before->target);
  }
  service.rollout.reset();
  service.result.reset();
  service.ordered_at = SteadyNow();
  Begin(service, first_listing);
}

void RolloutControl::Begin(Service& service, bool first_listing) {
  const RolloutRecord& record = *service.record;
  const TimePoint now = SteadyNow();
  if (IsFinal(record.state)) return OnState(service);
  if (!record.problem.empty()) return End(service, RolloutState::kReverted, record.problem);
  Refresh(now);
  if (!service.versions.OnOrder(record.target)) {
    return End(service, RolloutState::kDone, "the service has this version already");
  }
  // The former requests of a gateway that was restarted are not known, so that it has no slack. The
  // number of gateways may change later; each keeps its part.
  const auto gateways = static_cast<int64_t>(view_.gateways().size());
  const int64_t slack = first_listing || gateways == 0
                            ? 0
                            : static_cast<int64_t>(view_.settings().canary_slack) / gateways;
  service.rollout.emplace(Rollout{RolloutMember(view_.settings().canary_share, slack, now),
                                  RolloutLeader(Millis(view_.settings().rollback_ms))});
  RefreshRules(record.service, service, now);
  LogInfo("rollout_ordered", {{"service", record.service},
                              {"target", record.target},
                              {"within_ms", Ms(record.within)},
                              {"slack", absl::StrCat(slack)},
                              {"restarted", first_listing ? "yes" : "no"}});
}

void RolloutControl::End(Service& service, RolloutState result, const std::string& reason) {
  service.rollout.reset();
  service.result = result;
  service.reason = reason;
  if (result == RolloutState::kReverted && !service.record->target.empty()) {
    service.versions.OnReverted(service.record->target);
  }
  RefreshRules(service.record->service, service, SteadyNow());
  LogWarning("rollout_refused", {{"service", service.record->service},
                                 {"target", service.record->target},
                                 {"result", std::string(NameIn(kRolloutStateNames, result))},
                                 {"reason", reason}});
}

void RolloutControl::OnState(Service& service) {
  const RolloutRecord& record = *service.record;
  if (!IsFinal(record.state)) return;
  service.final_states[record.target] = *record.state;
  const bool done = record.state == RolloutState::kDone;
  const bool expected =
      !service.rollout ||
      service.rollout->member.step() == (done ? RolloutStep::kFinish : RolloutStep::kStopped);
  LogInfo("rollout_ended", {{"service", record.service},
                            {"target", record.target},
                            {"state", std::string(NameIn(kRolloutStateNames, *record.state))},
                            {"expected", expected ? "yes" : "no"}});
  if (done) {
    service.versions.OnDone(record.target);
  } else {
    service.versions.OnReverted(record.target);
  }
  service.rollout.reset();
  service.result.reset();
  RefreshRules(record.service, service, SteadyNow());
}

std::vector<std::string> RolloutControl::LiveGateways(TimePoint now) const {
  std::vector<std::string> live{view_.settings().name};
  for (const auto& [name, peer] : view_.peers()) {
    if (peer.gateway && now - peer.last_seen < kLeaderTimeout) live.push_back(name);
  }
  return live;
}

int64_t RolloutControl::PresentRequests(const std::string& name, const std::string& target) const {
  int64_t requests = 0;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.service != name || state.record.version == target) continue;
    requests += std::max<int64_t>(0, state.in_flight);
  }
  return requests;
}

RolloutReport RolloutControl::MakeReport(const std::string& name, const Service& service,
                                         TimePoint now) const {
  const RolloutMember& member = service.rollout->member;
  return {view_.settings().name, start_,
          member.Elapsed(now),   member.step(),
          member.says_bad(),     PresentRequests(name, service.record->target),
          member.counts()};
}

void RolloutControl::FollowHistory(TimePoint now) {
  const int64_t before = std::exchange(history_, view_.store_history());
  if (before > 0 && before < history_) rewrites_until_ = now + kRewriteTime;
}

void RolloutControl::Tick(TimePoint now) {
  FollowHistory(now);
  Refresh(now);
  // Without the list of peers each gateway would take itself for the leader.
  if (view_.gateways().empty()) return;
  const std::vector<std::string> live = LiveGateways(now);
  const Duration period = RolloutLeader::ReportPeriod(live.size());
  const bool report = now >= next_report_;
  if (report) next_report_ = now + period;
  const bool announce = now >= next_announcement_;
  if (announce) next_announcement_ = now + std::min(period, kMaxAnnouncementPeriod);
  for (auto& [name, service] : services_) {
    if (!service.record) continue;
    if (service.rollout) {
      service.rollout->member.JudgeOwn();
      // The desired state may name the service a moment after the order.
      if (view_.table() != nullptr && view_.Service(name) == nullptr &&
          now - service.ordered_at > kServiceWait) {
        End(service, RolloutState::kReverted, "the desired state has no such service");
      }
    }
    const std::string leader = RendezvousTop(absl::StrCat("rollout ", name), live, 1).front();
    if (leader == view_.settings().name) {
      Lead(name, service, live, announce, now);
    } else if (report && service.rollout) {
      Report(name, service, leader, now);
    }
    if (announce) UpdateMetrics(name, service);
  }
}

void RolloutControl::Lead(const std::string& name, Service& service,
                          const std::vector<std::string>& live, bool announce, TimePoint now) {
  if (IsFinal(service.record->state)) return;
  if (service.result) return WriteStatus(name, service, *service.result, service.reason, now);
  if (!service.rollout) return;
  Rollout& rollout = *service.rollout;
  const RolloutStep before = rollout.member.step();
  const RolloutDecision decision =
      rollout.leader.Decide(MakeReport(name, service, now), live, service.target_listed,
                            service.record->within, rollout.member, now);
  LogStep(name, service, decision.reason, now);
  if (announce || decision.step != before) {
    view_.BroadcastToGateways(RolloutStepMessage{view_.settings().name, name,
                                                 service.record->target,
                                                 rollout.member.Elapsed(now), decision.step});
  }
  WriteStatus(name, service, FinalStateOr(decision.final_state), decision.reason, now);
}

void RolloutControl::Report(const std::string& name, Service& service, const std::string& leader,
                            TimePoint now) {
  const auto peer = view_.peers().find(leader);
  if (peer == view_.peers().end()) return;
  Rollout& rollout = *service.rollout;
  const bool full = rollout.reported_to != leader || rollout.reports++ % kReportsPerFullReport == 0;
  if (full) rollout.selection.Reset();
  rollout.reported_to = leader;
  RolloutEvidenceMessage message{name, service.record->target, MakeReport(name, service, now)};
  message.report.counts = rollout.selection.Take(message.report.counts);
  link_.Send(peer->second.endpoint, message);
}

void RolloutControl::WriteStatus(const std::string& name, Service& service, RolloutState state,
                                 const std::string& reason, TimePoint now) {
  if (service.record->state == state || service.writing || now < service.next_write) return;
  // In a later history the revision may be that of another order.
  if (service.position.history < view_.store_history()) return;
  service.writing = true;
  Spawn(io_, "rollout_status", [this, name, state, reason]() {
    std::string service_name = name;
    std::string why = reason;
    return SendStatus(std::move(service_name), state, std::move(why));
  });
}

Awaitable<void> RolloutControl::SendStatus(std::string name, RolloutState state,
                                           std::string reason) {
  Service& service = services_.at(name);
  const std::string kind = platform::kRolloutKind;
  const int64_t revision = service.position.revision;
  const std::string target = service.record ? service.record->target : "";
  boost::json::value status = platform::EncodeRolloutStatus(state, target);
  platform::StoreResult result =
      co_await view_.store().ReplaceStatus(kind, name, revision, std::move(status));
  LogInfo("rollout_status_written", {{"service", name},
                                     {"target", target},
                                     {"state", std::string(NameIn(kRolloutStateNames, state))},
                                     {"reason", reason},
                                     {"revision", absl::StrCat(revision)},
                                     {"outcome", std::string(platform::Name(result.outcome))},
                                     {"failure", result.failure}});
  // The write may have been applied although its answer is lost, and another writer may have been
  // faster: the store's contents decide.
  result = co_await view_.store().Read(kind, name);
  // In a later history the store may have an older order, which a list of the kind tells.
  const bool same_history = result.history == service.position.history;
  if (result.outcome == platform::StoreOutcome::kDone && same_history && !result.objects.empty()) {
    const ChangeOrigin origin{"store"};
    OnObject(result.objects.front(), origin);
  }
  service.next_write = SteadyNow() + kWriteRetryDelay;
  service.writing = false;
}

void RolloutControl::Refresh(TimePoint now) {
  std::map<std::string, ServiceVersions::Listed> listed;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.draining || state.replaced) continue;
    const RunnerRecord& record = state.record;
    const auto [oldest, added] =
        listed[record.service].try_emplace(record.version, record.started_ms);
    if (!added) oldest->second = std::min(oldest->second, record.started_ms);
  }
  for (const auto& [name, versions] : listed) services_[name];
  for (auto& [name, service] : services_) {
    const std::string target = service.rollout ? service.record->target : "";
    service.versions.OnListed(listed[name], target, view_.rollouts_listed(), now);
    service.target_listed = listed[name].count(target) > 0;
    RefreshRules(name, service, now);
  }
}

void RolloutControl::RefreshRules(const std::string& name, Service& service, TimePoint now) {
  service.present.versions = service.versions.accepted();
  service.target = {};
  service.both = service.present;
  service.trial = {};
  if (!service.rollout) return;
  const std::string& target = service.record->target;
  service.target.versions.insert(target);
  service.both.versions.insert(target);
  service.trial.versions.insert(target);
  std::vector<std::string> usable;
  const RunnerNotices& notices = view_.runner_registry().notices();
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.service != name || state.record.version != target) continue;
    if (state.record.draining || state.replaced || notices.Leaving(id)) continue;
    if (!state.Suspected(now)) usable.push_back(id);
  }
  // Load pattern: the share spread over all new runners would leave each nearly idle, and faults
  // under load would show only after the shift.
  const double share = view_.settings().canary_share * static_cast<double>(usable.size());
  const auto count = std::max<size_t>(1, static_cast<size_t>(std::ceil(share)));
  for (std::string& id : RendezvousTop(absl::StrCat(name, " ", target), usable, count)) {
    service.trial.runners.insert(std::move(id));
  }
}

void RolloutControl::LogStep(const std::string& name, Service& service, const std::string& reason,
                             TimePoint now) {
  Rollout& rollout = *service.rollout;
  const RolloutStep step = rollout.member.step();
  // A reason with growing counts would be logged at each call.
  if (rollout.logged_step == step && !(rollout.logged_reason.empty() && !reason.empty())) return;
  rollout.logged_step = step;
  rollout.logged_reason = reason;
  const RolloutShare& share = rollout.member.share();
  LogInfo("rollout_step", {{"service", name},
                           {"target", service.record->target},
                           {"step", std::string(NameIn(kRolloutStepNames, step))},
                           {"reason", reason},
                           {"elapsed_ms", Ms(rollout.member.Elapsed(now))},
                           {"sent", absl::StrCat(share.sent())},
                           {"sent_on_trial", absl::StrCat(share.on_trial())}});
}

void RolloutControl::UpdateMetrics(const std::string& name, const Service& service) {
  const auto set = [&](const char* metric, const char* help, Metrics::Labels labels, auto value) {
    labels["service"] = name;
    metrics_.Gauge(metric, help, labels).Set(static_cast<double>(value));
  };
  set("fuchsiaweir_rollouts_in_progress", "Rollouts that this process takes part in.", {},
      service.rollout ? 1 : 0);
  if (!service.rollout) return;
  const RolloutMember& member = service.rollout->member;
  set("fuchsiaweir_rollout_step", "Step of a rollout: 0 canary, 1 shift, 2 finish, 3 stopped.", {},
      static_cast<int>(member.step()));
  set("fuchsiaweir_rollout_verdict",
      "Verdict about a version by the evidence that this process has: 0 good, 1 doubtful, 2 bad.",
      {},
      static_cast<int>(
          std::max(service.rollout->leader.verdict().verdict, member.own_verdict().verdict)));
  constexpr char kRequestsHelp[] = "Requests that this process sent since the order of a rollout.";
  set("fuchsiaweir_rollout_requests", kRequestsHelp, {{"which", "all"}}, member.share().sent());
  set("fuchsiaweir_rollout_requests", kRequestsHelp, {{"which", "on_trial"}},
      member.share().on_trial());
  constexpr char kAnswersHelp[] = "Answers that this process got since the order of a rollout.";
  for (const auto& [route, counts] : member.counts()) {
    for (const bool target : {false, true}) {
      const VersionCounts& version = target ? counts.target : counts.present;
      const std::string which = target ? "target" : "present";
      const auto labels = [&](const char* kind) {
        return Metrics::Labels{{"route", route}, {"version", which}, {"kind", kind}};
      };
      set("fuchsiaweir_rollout_answers", kAnswersHelp, labels("all"), version.answers);
      set("fuchsiaweir_rollout_answers", kAnswersHelp, labels("failed"), version.failures);
      set("fuchsiaweir_rollout_answers", kAnswersHelp, labels("slow"), version.slow);
    }
  }
}

}  // namespace fuchsiaweir
