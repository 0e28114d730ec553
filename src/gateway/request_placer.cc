#include "gateway/request_placer.h"

#include <algorithm>
#include <utility>

#include "gateway/work_observer.h"
#include "net/awaitable.h"

namespace fuchsiaweir {
namespace {

/// Share of the objective that a request may wait for a runner before it is refused.
constexpr double kPlacementWaitShare = 0.125;
constexpr Duration kPlacementPollInterval = Millis(10);
/// A request does not wait if the expected time until a runner accepts it exceeds this multiple of
/// its limit.
constexpr int64_t kMaxExpectedWaitFactor = 4;
/// A stream that has begun waits longer, since its caller already has part of the response and
/// fewer runners may go on with it.
constexpr Duration kResumePlacementTimeout = Millis(1200);
/// Share of the deadline for new weights after which runners with replaced weights get no requests.
/// The rest covers the time that a request waits at its runner before it starts.
constexpr double kReplacedWeightsShare = 0.75;
/// Share of that deadline after which they get only requests that they start at once.
constexpr double kIdleOnlyWeightsShare = 0.6;

}  // namespace

Placement RequestPlacer::Try(ForwardedRequest& request, TimePoint now) {
  PlacementQuery query = MakeQuery(request, now);
  if (const VersionRule* const first = rollouts_.FirstChoice(request, now)) {
    const VersionRule* const all = std::exchange(query.version_rule, first);
    Placement placement = PlaceRequest(query, view_.runner_registry(), now);
    if (!placement.runner.empty()) return placement;
    query.version_rule = all;
  }
  return PlaceRequest(query, view_.runner_registry(), now);
}

Placement RequestPlacer::FindOther(ForwardedRequest& request, TimePoint now) {
  if (request.body_released || !crash_attribution_.MayRetry(request)) return {};
  PlacementQuery query = MakeQuery(request, now);
  std::set<std::string> tried = request.tried;
  tried.insert(request.runner);
  query.tried = &tried;
  query.allow_suspected = false;
  return PlaceRequest(query, view_.runner_registry(), now);
}

void RequestPlacer::Count(const ForwardedRequest& request, const std::string& runner,
                          TimePoint now) {
  view_.runner_registry().OnPlaced(runner, request.tokens(), now);
  rollouts_.OnPlaced(request, runner);
  if (request.caller.parts.empty()) return;
  token_demands_[request.service].OnSent(request.tokens(), request.caller.output_tokens, now);
}

void RequestPlacer::ReleaseReservation(ForwardedRequest& request) {
  if (request.reserved.runner.empty()) return;
  view_.runner_registry().OnRequestEnd(request.reserved.runner);
  request.reserved = {};
}

PlacementQuery RequestPlacer::MakeQuery(ForwardedRequest& request, TimePoint now) {
  PlacementQuery query;
  query.service = request.service;
  query.version_rule = rollouts_.Rule(request.service, now);
  query.data_centre = view_.settings().data_centre;
  query.prefix_hash = request.prefix_hash;
  if (request.stream_version) query.software_version = &*request.stream_version;
  query.closed_data_centres = &request.closed_data_centres;
  query.tried = &request.tried;
  query.self = view_.settings().name;
  query.gateways = &view_.gateways();
  if (!request.caller.parts.empty()) {
    query.tokens = request.tokens();
  }
  query.work = WorkObserver::WorkOf(request);
  query.priority = request.priority();
  query.repeatable = request.repeatable();
  query.random = random_.Next();
  query.demand = token_demands_[request.service].Estimate(now);
  if (const ServiceSpec* service = view_.Service(request.service)) {
    query.cold_requests_per_second = service->cold_requests_per_second;
  }
  if (const WeightsHistory* weights = view_.weights(request.caller.model)) {
    const double bound_us = static_cast<double>(view_.settings().weights_ms) * 1e3;
    const Duration max_lag = Micros(static_cast<int64_t>(bound_us * kReplacedWeightsShare));
    const Duration max_lag_if_queued =
        Micros(static_cast<int64_t>(bound_us * kIdleOnlyWeightsShare));
    query.preferred_weights_version = weights->newest();
    query.min_weights_version = weights->RequiredVersion(max_lag, now);
    query.min_weights_version_if_queued = weights->RequiredVersion(max_lag_if_queued, now);
  }
  return query;
}

Awaitable<Placement> RequestPlacer::Wait(ForwardedRequest& request) {
  const RunnerState* const reserved = view_.runner_registry().Find(request.reserved.runner);
  if (reserved != nullptr && TakesRequest(request, *reserved, SteadyNow())) {
    co_return std::exchange(request.reserved, {});
  }
  ReleaseReservation(request);
  const TimePoint started_at = SteadyNow();
  const Duration limit =
      request.exchange.streaming() || request.resumes_stream()
          ? kResumePlacementTimeout
          : Micros(static_cast<int64_t>(static_cast<double>(request.route->objective.count()) *
                                        kPlacementWaitShare));
  while (true) {
    const TimePoint now = SteadyNow();
    Placement placement = Try(request, now);
    if (request.caller_gone) co_return placement;
    if (!placement.runner.empty()) {
      Count(request, placement.runner, now);
      co_return placement;
    }
    const bool timed_out = now - started_at + kPlacementPollInterval > limit ||
                           now + kPlacementPollInterval > request.deadline;
    if (timed_out || placement.retry_after > limit * kMaxExpectedWaitFactor) co_return placement;
    // Only runners of the version that began the stream may go on with it, and none is left.
    if (request.stream_version && (placement.refusal == PlacementRefusal::kNoRunner ||
                                   placement.refusal == PlacementRefusal::kLeaving)) {
      co_return placement;
    }
    // The end of a pause is known, unlike that of an overload.
    if (placement.refusal == PlacementRefusal::kPaused &&
        now + placement.retry_after > started_at + limit) {
      co_return placement;
    }
    co_await SleepFor(kPlacementPollInterval);
  }
}

bool RequestPlacer::TakesRequest(const ForwardedRequest& request, const RunnerState& runner,
                                 TimePoint now) const {
  const RunnerNotices& notices = view_.runner_registry().notices();
  const std::string& version = runner.record.version;
  return request.stream_version.value_or(version) == version && !runner.record.draining &&
         rollouts_.MayReceive(runner.record, now) && !notices.Leaving(runner.record.id) &&
         notices.PauseLeft(runner.record.id, now) == Duration{0} &&
         view_.evacuated().count(runner.record.data_centre) == 0;
}

}  // namespace fuchsiaweir
