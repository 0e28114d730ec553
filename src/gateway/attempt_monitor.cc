#include "gateway/attempt_monitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>

#include "core/millis_text.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// Timeout for the first byte, in multiples of the objective, after which a repeatable request is
/// sent to another runner. The timeout is longer for a model engine with a fresh load report, which
/// is busy rather than dead.
constexpr double kFirstByteTimeoutFactor = 1.5;
constexpr double kBusyFirstByteTimeoutFactor = 4;
/// Pause in a stream after which a runner that does not answer its sidecar counts as dead.
constexpr Duration kMaxEventPause = Millis(1000);
/// A timer that is this late shows that the process did not run, or had too much to do.
constexpr Duration kMinLoggedStall = Millis(500);
/// Window over which the longest stall is remembered.
constexpr Duration kStallWindow = Seconds(20);
/// Window over which the slowest answer of a service is remembered.
constexpr Duration kAnswerTimeWindow = Seconds(20);
/// Periods of the timer that one call counts for at most. The rest of a longer time is a stall.
constexpr int64_t kMaxPeriodsPerStep = 2;

}  // namespace

AttemptMonitor::AttemptMonitor(FleetView& view, AdmissionController& admission, Metrics& metrics)
    : view_(view), admission_(admission), metrics_(metrics), stalls_(kStallWindow) {}

void AttemptMonitor::OnTimer(TimePoint now, Duration period) {
  const Duration elapsed = last_timer_ == TimePoint{} ? Duration{0} : now - last_timer_;
  const Duration late = std::max(Duration{0}, elapsed - period);
  step_began_ = last_timer_;
  step_ = std::min(elapsed, period * kMaxPeriodsPerStep);
  last_timer_ = now;
  stalls_.Add(late, now);
  metrics_
      .Gauge("fuchsiaweir_longest_stall_ms",
             "Longest recent time in which the process handled no events.")
      .Set(static_cast<double>(ToMillis(stalls_.Longest(now))));
  if (late >= kMinLoggedStall) LogWarning("process_stalled", {{"late_ms", Ms(late)}});
}

void AttemptMonitor::OnAnswer(const std::string& service, Duration after, TimePoint now) {
  answer_times_.try_emplace(service, kAnswerTimeWindow).first->second.Add(after, now);
}

Duration AttemptMonitor::FirstByteTimeout(const ForwardedRequest& request,
                                          const RunnerState* runner, TimePoint now) const {
  const bool alive = runner != nullptr && runner->ReportFresh(now);
  const double factor = alive ? kBusyFirstByteTimeoutFactor : kFirstByteTimeoutFactor;
  const Duration timeout =
      Micros(static_cast<int64_t>(static_cast<double>(request.route->objective.count()) * factor));
  const auto known = answer_times_.find(request.service);
  if (known == answer_times_.end()) return timeout;
  return std::max(timeout, known->second.Longest(now));
}

// Load pattern: all runners of a service are slow, or the network or this process stands still. An
// attempt that is given up then loses the work of its runner and loads another one that is no
// faster. Only time in which this process could have read an answer counts, and only a runner that
// takes the request now is a reason to give one up.
bool AttemptMonitor::ShouldAbandon(ForwardedRequest& request,
                                   const std::function<bool()>& has_other, TimePoint now) {
  // Bytes of a stream without a complete event are no progress.
  const bool progress = request.first_byte_received || !request.is_stream();
  const bool new_bytes = progress && request.last_byte_at >= step_began_;
  request.silent_for =
      new_bytes ? std::min(now - request.last_byte_at, step_) : request.silent_for + step_;
  if (!request.repeatable() || request.runs >= request.route->attempts) return false;
  const RunnerState* runner = view_.runner_registry().Find(request.runner);
  // A runner that sends is alive, even if it does not answer its sidecar for a while.
  const bool dead = runner != nullptr && (runner->ReportFailed(now) || runner->Silent()) &&
                    (!request.first_byte_received || request.silent_for >= kMaxEventPause);
  const bool late =
      !request.first_byte_received && request.silent_for >= FirstByteTimeout(request, runner, now);
  if (!dead && !late) return false;
  if ((progress && request.channel->HasInput()) || !has_other()) return false;
  if (!admission_.TryConsumeRetry(request.service)) return false;
  request.retry_reserved = true;
  LogAbandoned(request, runner, dead, now);
  return true;
}

void AttemptMonitor::Cancel(const ForwardedRequest& request, const std::string& cause,
                            TimePoint now) {
  const RunnerState* const state = view_.runner_registry().Find(request.runner);
  const bool reported = state != nullptr && state->report;
  const int64_t unacknowledged = request.channel->UnacknowledgedBytes();
  LogInfo("attempt_cancelled",
          {{"request", request.caller.id},
           {"runner", request.runner},
           {"cause", cause},
           {"after_ms", Ms(now - request.sent_at)},
           {"silent_ms", Ms(now - request.last_byte_at)},
           {"report_age_ms", reported ? Ms(now - state->reported_at) : std::string("-1")},
           {"unacknowledged_bytes", absl::StrCat(unacknowledged)}});
  metrics_
      .Counter("fuchsiaweir_attempts_cancelled_total",
               "Attempts that were cancelled, by cause and by whether the runner's host had "
               "acknowledged the whole request.",
               {{"cause", cause},
                {"acknowledged", unacknowledged == 0  ? "yes"
                                 : unacknowledged > 0 ? "no"
                                                      : "unknown"}})
      .Increment();
  request.channel->Close();
}

void AttemptMonitor::LogAbandoned(const ForwardedRequest& request, const RunnerState* runner,
                                  bool dead, TimePoint now) {
  const char* const cause = dead ? "runner_dead" : "no_first_byte";
  const bool reported = runner != nullptr && runner->report;
  LogInfo("attempt_abandoned", {{"request", request.caller.id},
                                {"runner", request.runner},
                                {"cause", cause},
                                {"after_ms", Ms(now - request.sent_at)},
                                {"silent_ms", Ms(request.silent_for)},
                                {"report_age_ms", reported ? Ms(now - runner->reported_at) : "-1"},
                                {"stalled_ms", Ms(stalls_.Longest(now))}});
  metrics_
      .Counter("fuchsiaweir_attempts_abandoned_total",
               "Attempts that were given up for another runner, by cause.", {{"cause", cause}})
      .Increment();
}

}  // namespace fuchsiaweir
