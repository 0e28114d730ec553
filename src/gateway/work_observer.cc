#include "gateway/work_observer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/millis_text.h"
#include "net/log.h"

namespace fuchsiaweir {

std::optional<RequestWork> WorkObserver::WorkOf(const ForwardedRequest& request) {
  // The objective of other responses includes the time to generate all of the output.
  if (!request.is_stream() || request.caller.parts.empty()) return std::nullopt;
  if (request.route->objective <= Duration{0}) return std::nullopt;
  RequestWork work;
  work.objective = request.route->objective;
  work.prompt_tokens = request.caller.prompt_tokens;
  for (size_t i = 0; i + 1 < request.caller.parts.size(); ++i) {
    work.shared_tokens += request.caller.parts[i].tokens;
  }
  work.shared_tokens = std::min(work.shared_tokens, work.prompt_tokens);
  return work;
}

void WorkObserver::OnSent(ForwardedRequest& request, const Placement& placement,
                          const RunnerState& runner, TimePoint now) {
  request.sent_work.reset();
  if (placement.by_time) {
    metrics_
        .Counter("fuchsiaweir_placements_by_time_total",
                 "requests placed by the expected time to the first event, not by affinity or load")
        .Increment();
    LogInfo("placed_by_time", {{"request", request.caller.id},
                               {"runner", placement.runner},
                               {"left", placement.by_time->left},
                               {"expected_ms", Ms(placement.by_time->at_chosen)},
                               {"expected_at_left_ms", Ms(placement.by_time->at_left)},
                               {"objective_ms", Ms(request.route->objective)}});
  }
  const std::optional<RequestWork> work = WorkOf(request);
  const std::optional<RunnerWork> at =
      work ? WorkAt(runner, work->prompt_tokens, now) : std::nullopt;
  if (!at) return;
  ServiceWork& service = view_.runner_registry().work().Service(request.service);
  SentWork sent;
  sent.uncached_tokens =
      work->prompt_tokens - (placement.runner == placement.home ? work->shared_tokens : 0);
  sent.slowdown = service.Slowdown(at->pace);
  // `placed` includes this request.
  sent.queued = at->full || at->waiting > 0 || at->reading > 0 || at->placed > 1;
  sent.expected = service.ExpectedFirstEvent(*at, sent.uncached_tokens);
  request.sent_work = sent;
}

void WorkObserver::OnFirstEvent(const ForwardedRequest& request) {
  if (!request.sent_work) return;
  const SentWork& sent = *request.sent_work;
  const Duration elapsed = request.first_byte_at - request.sent_at;
  if (sent.expected) {
    metrics_
        .Seconds("fuchsiaweir_first_event_error_seconds",
                 "difference between the expected and the actual time to the first event",
                 {{"sign", elapsed > *sent.expected ? "late" : "early"}})
        .Observe(std::abs(ToSeconds(elapsed - *sent.expected)));
  }
  if (sent.queued) return;
  view_.runner_registry()
      .work()
      .Service(request.service)
      .OnFirstEvent(sent.uncached_tokens, sent.slowdown, elapsed);
}

void WorkObserver::OnComplete(const ForwardedRequest& request) {
  // Of a stream that the caller resumed, the first part was not observed.
  if (request.caller.parts.empty() || request.caller.resume_after > 0) return;
  view_.runner_registry().work().Service(request.service).OnOutput(request.last_event_id);
}

}  // namespace fuchsiaweir
