#include "gateway/attempt_monitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>

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

std::string Ms(Duration duration) { return absl::StrCat(ToMillis(duration)); }

}  // namespace

AttemptMonitor::AttemptMonitor(FleetView& view, AdmissionController& admission, Metrics& metrics)
    : view_(view), admission_(admission), metrics_(metrics), stalls_(kStallWindow) {}

void AttemptMonitor::OnTimer(TimePoint now, Duration period) {
  const Duration late = last_timer_ ? now - *last_timer_ - period : Duration{0};
  last_timer_ = now;
  stalls_.Add(std::max(Duration{0}, late), now);
  metrics_
      .Gauge("fuchsiaweir_longest_stall_ms",
             "Longest recent time in which the process handled no events.")
      .Set(static_cast<double>(ToMillis(stalls_.Longest(now))));
  if (late >= kMinLoggedStall) LogWarning("process_stalled", {{"late_ms", Ms(late)}});
}

bool AttemptMonitor::ShouldAbandon(ForwardedRequest& request, TimePoint now) {
  if (!request.repeatable() || request.runs >= request.route->attempts) return false;
  const RunnerState* runner = view_.runner_registry().Find(request.runner);
  // A runner that sends is alive, even if it does not answer its sidecar for a while.
  const bool sends = request.first_byte_received && now - request.last_byte_at < kMaxEventPause;
  const bool dead = runner != nullptr && runner->ReportFailed(now) && !sends;
  const bool alive = runner != nullptr && runner->ReportFresh(now);
  const double factor = alive ? kBusyFirstByteTimeoutFactor : kFirstByteTimeoutFactor;
  const Duration timeout =
      Micros(static_cast<int64_t>(static_cast<double>(request.route->objective.count()) * factor));
  if (!dead && (request.first_byte_received || now - request.sent_at < timeout)) return false;
  if (!admission_.TryConsumeRetry(request.service)) return false;
  request.retry_reserved = true;
  LogAbandoned(request, runner, dead, now);
  return true;
}

void AttemptMonitor::LogAbandoned(const ForwardedRequest& request, const RunnerState* runner,
                                  bool dead, TimePoint now) {
  const char* const cause = dead ? "runner_dead" : "no_first_byte";
  const bool reported = runner != nullptr && runner->report;
  LogInfo("attempt_abandoned",
          {{"request", request.caller.id},
           {"runner", request.runner},
           {"cause", cause},
           {"after_ms", Ms(now - request.sent_at)},
           {"last_byte_ms", request.first_byte_received ? Ms(now - request.last_byte_at) : "-1"},
           {"report_age_ms", reported ? Ms(now - runner->reported_at) : "-1"},
           {"stalled_ms", Ms(stalls_.Longest(now))}});
  metrics_
      .Counter("fuchsiaweir_attempts_abandoned_total",
               "Attempts that were given up for another runner, by cause.", {{"cause", cause}})
      .Increment();
}

}  // namespace fuchsiaweir
