#include "core/runner_registry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace fuchsiaweir {
namespace {

// Reports arrive several times per second; an older one does not reflect the current load.
constexpr Duration kMaxReportAge = Millis(1200);
// Longer than a sidecar takes for one report that fails (520 ms), with the next one.
constexpr Duration kMaxSilence = Millis(800);
// A runner whose sidecar has ended is asked for its report before it counts as silent.
constexpr Duration kReportOverdue = Millis(500);
// Longest time between two reports of any runners that counts as time in which they were heard.
constexpr Duration kMaxReportGap = Millis(300);
// Records that expired while the list was unavailable are published again within about 2 s after it
// is available. A runner that left in the meantime must get no requests 2 s after its record
// expired, and the expiry is seen up to 0.5 s late.
constexpr Duration kMissingGracePeriod = Millis(1500);
// Longer than a copy is old from which the store that holds the records may be restored.
constexpr Duration kDepartureMemory = Seconds(60);
// The avoidance of an unreachable runner doubles with each further failure, up to the maximum.
constexpr Duration kInitialAvoidPeriod = Millis(300);
constexpr Duration kMaxAvoidPeriod = Millis(2400);
// A runner whose address belongs to another one, or whose weights differ from its record, gets no
// requests until its record is likely to be corrected.
constexpr Duration kMovedAvoidPeriod = Millis(600);
// Weight of one request in the exponentially decaying failure rate.
constexpr double kFailureWeight = 0.2;
// The failure rate also decays without requests: a failed runner must get requests again, because
// only they show whether it has recovered.
constexpr double kFailureHalfLifeSeconds = 3.0;
// Maximum delay from a restarted runner's first accepted connection until its new record arrives.
constexpr Duration kMaxRecordDelay = Millis(1500);

constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "served", "own_failure", "full", "moved", "unreachable", "no_connection", "broken", "silent"};

/// Whether a newer report arrived before this one. A clock that was set back is no sign of that.
bool Overtaken(const RunnerState& state, const EngineReport& report) {
  if (!state.report || state.report->started_ms != report.started_ms) return false;
  const int64_t behind_ms = state.report->runner_time_ms - report.runner_time_ms;
  return behind_ms > 0 && behind_ms < ToMillis(kMaxReportAge);
}

}  // namespace

std::string_view Name(AttemptOutcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

double RunnerState::FailureRate(TimePoint now) const {
  const double seconds = std::max(0.0, ToSeconds(now - failure_rate_at));
  return failure_rate * std::exp2(-seconds / kFailureHalfLifeSeconds);
}

bool RunnerState::ReportFresh(TimePoint now) const {
  return report && now - reported_at < kMaxReportAge;
}

// A sidecar that stops takes nothing back, so what it told last is not valid for long.
bool RunnerState::ReportFailed(TimePoint now) const {
  return report_failed_at != TimePoint{} && now - report_failed_at < kMaxReportAge;
}

// Load pattern: a host stands still with its runner and its sidecar, and what is sent to it waits.
// Nothing tells that but the end of its reports and answers.
bool RunnerState::Silent() const { return report && unheard >= kMaxSilence; }

bool RunnerState::ReportOverdue() const { return report && unheard >= kReportOverdue; }

double RunnerState::Load(TimePoint now, int64_t gateways) const {
  if (!ReportFresh(now)) return static_cast<double>(in_flight * std::max<int64_t>(1, gateways));
  const int64_t reported = report->running + report->waiting + sent_since_report;
  return static_cast<double>(std::max(in_flight, reported));
}

void RunnerRegistry::Upsert(const RunnerRecord& record, TimePoint now) {
  const auto [it, created] = runners_.try_emplace(record.id);
  RunnerState& state = it->second;
  if (!created && record.started_ms < state.record.started_ms) return;
  // The list may come from a copy of the store that is older than what it said before.
  // Without a start time, a lower sequence number may be that of a runner that started again.
  const bool same_start =
      !created && record.started_ms > 0 && record.started_ms == state.record.started_ms;
  if (same_start && record.sequence < state.record.sequence) return;
  const bool restarted = !created && state.record.started_ms != record.started_ms;
  // A record from before the runner's last start does not describe its current state.
  const bool current = record.started_ms >= state.started_ms;
  const bool newer = current && (created || restarted || record.sequence > state.record.sequence);
  if (restarted) notices_.OnRestart(record.id, record.started_ms);
  if (created) notices_.OnListed(record.id, record.started_ms);
  if (created || restarted) {
    const int64_t in_flight = state.in_flight;
    const TimePoint cold_until = state.cold_until;
    const int64_t started_ms = state.started_ms;
    state = RunnerState{};
    state.cold_until = cold_until;
    state.started_ms = started_ms;
    state.in_flight = in_flight;
  }
  state.record = record;
  state.started_ms = std::max(state.started_ms, record.started_ms);
  state.listed_at = now;
  state.missing_since.reset();
  MarkReplaced(record.address, record.port);
  if (record.cold_left > Duration{0}) {
    state.cold_until = std::max(state.cold_until, now + record.cold_left);
  } else if (newer) {
    // The runner's own record reports it as warm.
    state.cold_until = std::min(state.cold_until, now);
  }
}

void RunnerRegistry::Remove(const std::string& id, bool retain, TimePoint now) {
  const auto it = runners_.find(id);
  if (it == runners_.end()) return;
  // A draining runner announced its shutdown, so its record is not expected back.
  if (retain && !it->second.record.draining) {
    if (!it->second.missing_since) it->second.missing_since = now;
  } else {
    const RunnerRecord removed = it->second.record;
    Erase(it, now);
    MarkReplaced(removed.address, removed.port);
  }
}

std::map<std::string, RunnerState>::iterator RunnerRegistry::Erase(
    std::map<std::string, RunnerState>::iterator runner, TimePoint now) {
  std::erase_if(departed_,
                [&](const auto& item) { return now - item.second.at > kDepartureMemory; });
  const RunnerRecord& record = runner->second.record;
  departed_[runner->first] = {record.started_ms, record.sequence, now};
  return runners_.erase(runner);
}

bool RunnerRegistry::Departed(const RunnerRecord& record) const {
  const auto found = departed_.find(record.id);
  if (found == departed_.end() || record.started_ms == 0) return false;
  return std::pair(record.started_ms, record.sequence) <=
         std::pair(found->second.started_ms, found->second.sequence);
}

void RunnerRegistry::MarkReplaced(const std::string& address, uint16_t port) {
  int64_t newest = 0;
  for (const auto& [id, state] : runners_) {
    if (state.record.port == port && state.record.address == address) {
      newest = std::max(newest, state.record.started_ms);
    }
  }
  for (auto& [id, state] : runners_) {
    if (state.record.port == port && state.record.address == address) {
      state.replaced = state.record.started_ms < newest;
    }
  }
}

std::vector<std::string> RunnerRegistry::Expire(TimePoint now) {
  std::vector<std::string> expired;
  for (auto it = runners_.begin(); it != runners_.end();) {
    const bool ended =
        it->second.missing_since && now - *it->second.missing_since > kMissingGracePeriod;
    if (ended) expired.push_back(it->first);
    it = ended ? Erase(it, now) : std::next(it);
  }
  return expired;
}

void RunnerRegistry::OnReport(const std::string& address, uint16_t port,
                              const std::optional<EngineReport>& report, Duration cold_time,
                              TimePoint now) {
  // A gap may be one in which this gateway stood still, or had lost its network.
  const Duration elapsed = last_report_at_ == TimePoint{} ? Duration{0} : now - last_report_at_;
  const Duration listened = std::clamp(elapsed, Duration{0}, kMaxReportGap);
  last_report_at_ = now;
  for (auto& [id, state] : runners_) {
    state.unheard += listened;
    if (state.record.port != port || state.record.address != address) continue;
    state.unheard = Duration{0};
    state.report_failed_at = report ? TimePoint{} : now;
    if (!report || Overtaken(state, *report)) continue;
    // The report of a restarted runner arrives before its record.
    const bool restarted = report->started_ms > state.started_ms;
    state.report = report;
    state.reported_at = now;
    if (report->pace > Duration{0}) work_.OnPace(state.record.service, report->pace);
    state.sent_since_report = 0;
    state.tokens_since_report = 0;
    state.record.weights_version = std::max(state.record.weights_version, report->weights_version);
    if (restarted) {
      notices_.OnRestart(id, report->started_ms);
      state.started_ms = report->started_ms;
      state.cold_until = std::max(state.cold_until, now + cold_time);
      state.avoid_until = now;
    }
  }
}

void RunnerRegistry::OnHeard(const std::string& id) {
  RunnerState* state = Find(id);
  if (state != nullptr) state->unheard = Duration{0};
}

void RunnerRegistry::OnPlaced(const std::string& id, int64_t tokens, TimePoint now) {
  RunnerState* state = Find(id);
  if (state == nullptr) return;
  ++state->in_flight;
  ++state->sent_since_report;
  state->tokens_since_report += tokens;
  if (state->Cold(now)) state->cold_requests.OnSent(now);
  notices_.OnSent(id, now);
}

void RunnerRegistry::OnRequestEnd(const std::string& id) {
  RunnerState* state = Find(id);
  if (state == nullptr) return;
  --state->in_flight;
}

void RunnerRegistry::OnAttemptOutcome(const std::string& id, AttemptOutcome outcome,
                                      Duration cold_time, TimePoint now) {
  RunnerState* state = Find(id);
  if (state == nullptr) return;
  state->absent = outcome == AttemptOutcome::kUnreachable || outcome == AttemptOutcome::kMoved;
  const bool failed = outcome != AttemptOutcome::kServed && outcome != AttemptOutcome::kMoved;
  const double weight = outcome == AttemptOutcome::kFull ? kFailureWeight / 2 : kFailureWeight;
  state->failure_rate = state->FailureRate(now) * (1 - weight) + (failed ? weight : 0.0);
  state->failure_rate_at = now;
  if (outcome == AttemptOutcome::kMoved) state->avoid_until = now + kMovedAvoidPeriod;
  const bool no_connection =
      outcome == AttemptOutcome::kUnreachable || outcome == AttemptOutcome::kNoConnection;
  const bool no_answer =
      no_connection || outcome == AttemptOutcome::kBroken || outcome == AttemptOutcome::kSilent;
  if (outcome == AttemptOutcome::kServed) {
    state->consecutive_failures = 0;
    state->unheard = Duration{0};
    return;
  }
  if (!no_answer) return;
  ++state->consecutive_failures;
  // One broken or late response does not prove that the runner is down; a refused connection does.
  if (no_connection || state->consecutive_failures >= 2) {
    const int64_t doublings = std::min<int64_t>(state->consecutive_failures - 1, 3);
    state->avoid_until = now + std::min(kMaxAvoidPeriod, kInitialAvoidPeriod * (1 << doublings));
  }
  if (no_connection && cold_time > Duration{0}) {
    state->cold_until = std::max(state->cold_until, now + cold_time + kMaxRecordDelay);
  }
}

RunnerState* RunnerRegistry::Find(const std::string& id) {
  const auto it = runners_.find(id);
  return it == runners_.end() ? nullptr : &it->second;
}

}  // namespace fuchsiaweir
