#include "gateway/forwarder.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/error_code.h"
#include "core/event_splitter.h"
#include "core/rendezvous.h"
#include "core/unix_time.h"
#include "core/urgency.h"
#include "net/log.h"
#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

/// A SYN that was dropped is sent again after a second; another runner answers sooner.
constexpr Duration kConnectTime = Millis(250);
/// Share of the objective that a request waits for a runner before it is refused.
constexpr double kWaitShare = 0.125;
constexpr Duration kWaitPoll = Millis(10);
/// A stream that has begun waits longer: its caller already holds part of the answer.
constexpr Duration kResumeWait = Millis(1200);
constexpr Duration kTickPeriod = Millis(150);
/// Connections that fail cost the caller little; a bound keeps one request from trying all runners.
constexpr int64_t kMaxUnsent = 4;
/// Answers "not run" of runners for one request.
constexpr int64_t kMaxRejected = 3;
/// Share of the objective within which parts of the prompt are fetched. What is not there by then
/// is computed, so that a slow store costs a bounded part of the time.
constexpr double kFetchShare = 0.35;
/// Bound of the factor by which waiting requests stretch the time for fetches.
constexpr double kMostFetchWait = 8;
/// Share of the time for new weights after which runners with replaced ones get nothing. The rest
/// covers the time that a request waits at its runner before it starts.
constexpr double kOldWeightsShare = 0.75;
/// Share of the time for new weights after which they get only what they start at once.
constexpr double kIdleWeightsShare = 0.6;
/// Silence before the first byte after which a repeatable request goes to another runner, in
/// objectives. A model engine with a fresh report is alive and only busy.
constexpr double kSilenceFactor = 1.5;
constexpr double kBusySilenceFactor = 4;

/// Refused callers return spread over this share more than they are told at least.
constexpr double kRetrySpread = 0.6;
/// Callers honour a Retry-After up to a third of the time that they have left.
constexpr double kRetryShareOfTimeLeft = 0.3;

/// When a runner that refused a request, or gave no connection, is worth another try.
constexpr Duration kRetryFull = Millis(300);

std::string Ms(Duration duration) { return absl::StrCat(ToMillis(duration)); }

}  // namespace

enum class Forwarder::AttemptEnd {
  kDelivered,  ///< The caller has the whole answer.
  kCallerGone,
  kNotSent,     ///< No byte of the request has left.
  kNotRun,      ///< The runner refused it.
  kOwnFailure,  ///< The runner answered that it failed; the answer is kept.
  kUnknown,     ///< The request may have run; the caller has nothing.
  kCut,         ///< The stream ended after the caller got part of it.
  kTimeUp,
};

Forwarder::Forwarder(Kernel& kernel, FleetView& view, PartWatch& parts)
    : view_(view),
      parts_(parts),
      metrics_(kernel.Find<Metrics>("metrics")),
      channels_(kernel.io()),
      blame_(view),
      admission_(view, blame_, metrics_),
      random_state_(RendezvousHash(view.settings().name) ^ static_cast<uint64_t>(UnixMillis())) {
  kernel.Find<TimerService>("timer").Subscribe("forwarder", kTickPeriod,
                                               [this](TimePoint now) { Tick(now); });
}

Forwarder::~Forwarder() = default;

double Forwarder::Random() {
  random_state_ = RendezvousMix(random_state_, 0x632BE59BD9B4E019);
  return static_cast<double>(random_state_ >> 11) * 0x1.0p-53;
}

Awaitable<void> Forwarder::Handle(HttpExchange& exchange) {
  ForwardedRequest request(exchange);
  request.arrived = SteadyNow();
  request.caller = platform::DecodeCallerRequest(exchange.request());
  requests_.insert(&request);
  if (std::optional<Refusal> refusal = admission_.Admit(request)) {
    co_await Refuse(request, *refusal);
  } else {
    co_await Run(request);
  }
  requests_.erase(&request);
}

Awaitable<void> Forwarder::Run(ForwardedRequest& request) {
  while (true) {
    const Placement placement = co_await WaitForPlace(request);
    if (request.caller_gone) co_return NoteRequestEnd(metrics_, request, "caller_gone", 0);
    if (placement.runner.empty()) {
      if (request.exchange.streaming()) {
        request.exchange.Abort();
        co_return NoteRequestEnd(metrics_, request, "cut", 0);
      }
      if (request.failure_status != 0) break;
      Refusal refusal = RefusalFor(request, placement);
      co_return co_await Refuse(request, std::move(refusal));
    }
    const AttemptEnd end = co_await Try(request, placement);
    view_.runner_registry().OnRequestEnd(placement.runner);
    if (end == AttemptEnd::kDelivered)
      co_return NoteRequestEnd(metrics_, request, "delivered", 200);
    if (end == AttemptEnd::kCallerGone)
      co_return NoteRequestEnd(metrics_, request, "caller_gone", 0);
    request.tried.insert(placement.runner);
    if (MayRepeat(request, end)) continue;
    if (request.exchange.streaming()) {
      request.exchange.Abort();
      co_return NoteRequestEnd(metrics_, request, "cut", 0);
    }
    if (request.failure_status != 0 && end == AttemptEnd::kOwnFailure) break;
    if (request.runs == 0) {
      Placement none;
      none.refusal =
          end == AttemptEnd::kNotRun ? PlacementRefusal::kFull : PlacementRefusal::kUnreachable;
      none.retry_after = kRetryFull;
      Refusal refusal = RefusalFor(request, none);
      co_return co_await Refuse(request, std::move(refusal));
    }
    Refusal refusal = FailureFor(request);
    co_return co_await Refuse(request, std::move(refusal));
  }
  // The last runner's own failure is the answer.
  const int status = request.failure_status;
  HttpResponse response{status, std::move(request.failure_headers),
                        std::move(request.failure_body)};
  co_await request.exchange.Respond(std::move(response));
  NoteRequestEnd(metrics_, request, "runner_failed", status);
}

bool Forwarder::MayRepeat(ForwardedRequest& request, AttemptEnd end) {
  const TimePoint now = SteadyNow();
  if (request.caller_gone || now >= request.deadline) return false;
  switch (end) {
    case AttemptEnd::kNotSent:
      return ++request.unsent < kMaxUnsent;
    case AttemptEnd::kNotRun:
      return ++request.rejected < kMaxRejected && admission_.TakeRetry(request.service);
    case AttemptEnd::kOwnFailure:
    case AttemptEnd::kUnknown:
    case AttemptEnd::kCut:
      break;
    default:
      return false;
  }
  if (!request.repeatable() || request.runs >= request.route->attempts) return false;
  if (std::exchange(request.retry_paid, false)) return true;
  return admission_.TakeRetry(request.service);
}

Placement Forwarder::PlaceNow(ForwardedRequest& request, TimePoint now) {
  PlacementQuery query;
  query.service = request.service;
  query.data_centre = view_.settings().data_centre;
  query.prefix_hash = request.prefix_hash;
  query.closed_data_centres = &request.closed;
  query.tried = &request.tried;
  query.self = view_.settings().name;
  query.gateways = &view_.gateways();
  if (!request.caller.parts.empty()) {
    query.tokens = request.tokens();
  }
  query.priority = request.priority();
  query.repeatable = request.repeatable();
  query.random = Random();
  query.demand = demands_[request.service].Estimate(now);
  const auto service = request.table->services.find(request.service);
  if (service != request.table->services.end())
    query.cold_requests_per_second = service->second.cold_requests_per_second;
  if (const WeightsHistory* weights = view_.weights(request.caller.model)) {
    const double bound_us = static_cast<double>(view_.settings().weights_ms) * 1e3;
    const Duration limit = Micros(static_cast<int64_t>(bound_us * kOldWeightsShare));
    const Duration idle = Micros(static_cast<int64_t>(bound_us * kIdleWeightsShare));
    query.preferred_weights_version = weights->newest();
    query.min_weights_version = weights->RequiredVersion(limit, now);
    query.min_weights_version_if_queued = weights->RequiredVersion(idle, now);
  }
  return PlaceRequest(query, view_.runner_registry(), now);
}

Awaitable<Placement> Forwarder::WaitForPlace(ForwardedRequest& request) {
  const TimePoint began = SteadyNow();
  const Duration limit =
      request.exchange.streaming()
          ? kResumeWait
          : Micros(static_cast<int64_t>(static_cast<double>(request.route->objective.count()) *
                                        kWaitShare));
  while (true) {
    const TimePoint now = SteadyNow();
    Placement placement = PlaceNow(request, now);
    if (request.caller_gone) co_return placement;
    if (!placement.runner.empty()) {
      view_.runner_registry().OnPlaced(placement.runner, request.tokens(), now);
      if (!request.caller.parts.empty()) {
        demands_[request.service].OnSent(request.tokens(), request.caller.output_tokens, now);
      }
      co_return placement;
    }
    const bool over = now - began + kWaitPoll > limit || now + kWaitPoll > request.deadline;
    // Waiting helps only where the runner is expected to take it within the time.
    if (over || placement.retry_after > limit * 4) co_return placement;
    co_await SleepFor(kWaitPoll);
  }
}

std::string Forwarder::EncodeOrder(ForwardedRequest& request, const RunnerState& runner) {
  platform::RunnerRequestFields order;
  order.runner_id = runner.record.id;
  order.time_left = request.deadline - SteadyNow();
  if (request.team != nullptr) order.team = request.team->name;
  if (request.last_event > request.caller.resume_after) order.resume_after = request.last_event;
  if (!request.caller.parts.empty()) {
    order.urgency = UrgencyOf(request.priority(), request.repeatable());
    order.weights_version = runner.record.weights_version;
    const bool isolated = request.team != nullptr && request.team->isolated;
    order.cache_salt = CacheSalt(order.weights_version, isolated ? request.team->name : "");
    if (order.weights_version > 0) {
      PartPlan plan = PlanParts(request.caller.parts, order.cache_salt, parts_.Stores(),
                                runner.record.data_centre);
      const auto service = request.table->services.find(request.service);
      parts_.OnPlanned(
          request.caller.parts, plan, runner.record.data_centre,
          service == request.table->services.end() ? 0 : service->second.cache_bytes_per_token);
      order.fetch_from = std::move(plan.fetch_from);
      order.save_to = std::move(plan.save_to);
      const TimePoint now = SteadyNow();
      if (!order.fetch_from.empty() && runner.ReportFresh(now) &&
          runner.report->runner_time_ms > 0) {
        // A request that waits for its turn starts its fetches late; to compute the parts instead
        // would make all others wait longer.
        const double waiting = static_cast<double>(runner.report->waiting);
        const Duration limit =
            Micros(static_cast<int64_t>(static_cast<double>(request.route->objective.count()) *
                                        kFetchShare * (1 + std::min(waiting, kMostFetchWait))));
        order.fetch_until_ms =
            runner.report->runner_time_ms + ToMillis(now - runner.reported_at + limit);
      }
    }
  }
  return platform::EncodeRunnerHeader(request.exchange.request(), order);
}

Awaitable<Forwarder::AttemptEnd> Forwarder::Try(ForwardedRequest& request,
                                                const Placement& placement) {
  const RunnerState* chosen = view_.runner_registry().Find(placement.runner);
  if (chosen == nullptr) co_return AttemptEnd::kNotSent;
  const Endpoint endpoint{chosen->record.address, chosen->record.port};
  const Duration cold_time = view_.ColdTime(request.service);
  RunnerChannels::Acquired acquired =
      co_await channels_.Acquire(endpoint, request.repeatable(), kConnectTime);
  const TimePoint now = SteadyNow();
  if (acquired.channel == nullptr) {
    view_.runner_registry().OnAttemptOutcome(placement.runner, AttemptOutcome::kUnreachable,
                                             cold_time, now);
    request.trail.push_back(placement.runner + ":unreachable");
    LogInfo("runner_unreachable", {{"request", request.caller.id},
                                   {"runner", placement.runner},
                                   {"reason", acquired.failure}});
    co_return AttemptEnd::kNotSent;
  }
  // While the connection was made, the runner may have been taken out.
  chosen = view_.runner_registry().Find(placement.runner);
  if (request.caller_gone || request.exchange.peer_gone()) {
    channels_.Release(endpoint, std::move(acquired.channel));
    co_return AttemptEnd::kCallerGone;
  }
  if (now >= request.deadline) co_return AttemptEnd::kTimeUp;
  if (chosen == nullptr || chosen->record.draining ||
      view_.evacuated().count(chosen->record.data_centre) > 0) {
    channels_.Release(endpoint, std::move(acquired.channel));
    co_return AttemptEnd::kNotSent;
  }
  std::string header = EncodeOrder(request, *chosen);
  LogInfo("request_sent", {{"request", request.caller.id},
                           {"route", request.route->name},
                           {"runner", placement.runner},
                           {"home", placement.home},
                           {"load", absl::StrCat(chosen->Load(now, 1))},
                           {"report_age_ms", chosen->report ? Ms(now - chosen->reported_at) : "-1"},
                           {"cold", chosen->Cold(now) ? "yes" : "no"},
                           {"weights", absl::StrCat(chosen->record.weights_version)},
                           {"revision", absl::StrCat(request.table->revision)},
                           {"left_ms", Ms(request.deadline - now)},
                           {"reused", acquired.reused ? "yes" : "no"}});
  request.channel = acquired.channel.get();
  request.runner = placement.runner;
  request.sent_at = now;
  request.abandoned = false;
  request.first_byte = false;
  request.channel->ExpireAfter(request.deadline - now);
  const AttemptEnd end =
      co_await Exchange(request, *request.channel, placement.runner, std::move(header));
  request.channel = nullptr;
  channels_.Release(endpoint, std::move(acquired.channel));
  co_return end;
}

Awaitable<Forwarder::AttemptEnd> Forwarder::Exchange(ForwardedRequest& request,
                                                     RunnerChannel& channel,
                                                     const std::string& runner,
                                                     std::string header) {
  ++request.runs;
  const Duration cold_time = view_.ColdTime(request.service);
  RunnerRegistry& runner_registry = view_.runner_registry();
  RunnerHeader answer;
  bool sound = co_await channel.Send(std::move(header), request.exchange.request().body);
  if (sound) sound = co_await channel.ReadHeader(request.caller.id, answer);
  if (!sound) co_return EndBroken(request, channel, runner);
  const platform::RunnerAnswer& status = answer.answer;
  const bool success = status.status / 100 == 2;
  if (!status.not_run && (!status.has_receipt || status.encoded)) {
    channel.Close();
    co_return EndBroken(request, channel, runner);
  }
  if (success && request.stream()) {
    const AttemptEnd end = co_await Relay(request, channel, answer, runner);
    co_return end;
  }
  std::string body;
  RunnerChannel::Read read = RunnerChannel::Read::kData;
  while (read == RunnerChannel::Read::kData) read = co_await channel.ReadBody(body);
  if (status.not_run) {
    --request.runs;
    const bool moved = status.status == 421;
    runner_registry.OnAttemptOutcome(runner, moved ? AttemptOutcome::kMoved : AttemptOutcome::kFull,
                                     cold_time, SteadyNow());
    request.trail.push_back(absl::StrCat(runner, ":", moved ? "moved" : "full"));
    co_return AttemptEnd::kNotRun;
  }
  if (read == RunnerChannel::Read::kBroken) co_return EndBroken(request, channel, runner);
  request.first_byte_after = SteadyNow() - request.arrived;
  if (status.status >= 500) {
    runner_registry.OnAttemptOutcome(runner, AttemptOutcome::kOwnFailure, cold_time, SteadyNow());
    request.trail.push_back(absl::StrCat(runner, ":status_", status.status));
    request.failure_status = status.status;
    request.failure_headers = platform::CallerHeaders(answer.fields);
    request.failure_body = std::move(body);
    co_return AttemptEnd::kOwnFailure;
  }
  runner_registry.OnAttemptOutcome(runner, AttemptOutcome::kServed, cold_time, SteadyNow());
  request.trail.push_back(absl::StrCat(runner, ":status_", status.status));
  HttpResponse response{status.status, platform::CallerHeaders(answer.fields), std::move(body)};
  const bool written = co_await request.exchange.Respond(std::move(response));
  co_return written ? AttemptEnd::kDelivered : AttemptEnd::kCallerGone;
}

Awaitable<Forwarder::AttemptEnd> Forwarder::Relay(ForwardedRequest& request, RunnerChannel& channel,
                                                  const RunnerHeader& header,
                                                  const std::string& runner) {
  EventSplitter splitter;
  std::string received;
  while (true) {
    const RunnerChannel::Read read = co_await channel.ReadBody(received);
    splitter.Add(received);
    received.clear();
    std::string events;
    while (std::optional<StreamEvent> event = splitter.Next()) {
      if (event->id && *event->id <= request.last_event) continue;
      if (event->id) request.last_event = *event->id;
      events += event->bytes;
    }
    const bool complete = read == RunnerChannel::Read::kEnd && !splitter.HasPartialEvent();
    if (!events.empty() || complete) {
      if (!request.first_byte) {
        request.first_byte = true;
        if (request.first_byte_after == Duration{0}) {
          request.first_byte_after = SteadyNow() - request.arrived;
        }
      }
      bool written = true;
      if (request.exchange.waiting()) {
        HttpHeaders fields = platform::CallerHeaders(header.fields);
        written = co_await request.exchange.BeginStream(header.answer.status, std::move(fields));
      }
      if (written) written = co_await request.exchange.WriteChunk(std::move(events));
      if (written && complete) written = co_await request.exchange.EndStream();
      if (!written) {
        channel.Close();
        co_return AttemptEnd::kCallerGone;
      }
    }
    if (complete) {
      view_.runner_registry().OnAttemptOutcome(runner, AttemptOutcome::kServed, Duration{0},
                                               SteadyNow());
      request.trail.push_back(runner + ":served");
      co_return AttemptEnd::kDelivered;
    }
    if (read != RunnerChannel::Read::kData) {
      channel.Close();
      co_return EndBroken(request, channel, runner);
    }
  }
}

Forwarder::AttemptEnd Forwarder::EndBroken(ForwardedRequest& request, RunnerChannel& channel,
                                           const std::string& runner) {
  const TimePoint now = SteadyNow();
  if (request.caller_gone) return AttemptEnd::kCallerGone;
  const bool time_up = now >= request.deadline - Millis(5);
  const bool silent = request.abandoned || time_up;
  const RunnerState* state = view_.runner_registry().Find(runner);
  // A load of weights breaks runs off on purpose; it says nothing about the runner.
  const bool loading = state != nullptr && state->ReportFresh(now) &&
                       state->report->phase != WeightLoadPhase::kServing;
  if (!loading && (!time_up || !request.first_byte)) {
    view_.runner_registry().OnAttemptOutcome(
        runner, silent ? AttemptOutcome::kSilent : AttemptOutcome::kBroken,
        view_.ColdTime(request.service), now);
  }
  request.trail.push_back(absl::StrCat(runner, ":",
                                       time_up  ? "time_up"
                                       : silent ? "silent"
                                                : "broken"));
  LogInfo("runner_failed", {{"request", request.caller.id},
                            {"runner", runner},
                            {"sign", silent ? "silent" : "broken"},
                            {"after_ms", Ms(now - request.sent_at)},
                            {"reason", channel.failure()}});
  if (time_up) return AttemptEnd::kTimeUp;
  if (!silent && !loading) blame_.Suspect(request.digest, runner);
  return request.exchange.streaming() ? AttemptEnd::kCut : AttemptEnd::kUnknown;
}

Refusal Forwarder::RefusalFor(const ForwardedRequest& request, const Placement& placement) {
  if (request.runs > 0) return FailureFor(request);
  Refusal refusal;
  refusal.code = placement.refusal == PlacementRefusal::kCold   ? ErrorCode::kCold
                 : placement.refusal == PlacementRefusal::kFull ? ErrorCode::kOverloaded
                                                                : ErrorCode::kNoTarget;
  refusal.reason = "no runner takes the request: " + std::string(Name(placement.refusal));
  refusal.retry_after = placement.retry_after;
  if (placement.refusal == PlacementRefusal::kFull) {
    const Duration pace = paces_[request.service].OnRefused(SteadyNow());
    refusal.retry_after = std::max(refusal.retry_after, pace);
  }
  return refusal;
}

Refusal Forwarder::FailureFor(const ForwardedRequest& request) const {
  const bool late = SteadyNow() >= request.deadline - Millis(5);
  return {late ? 504 : 502, ErrorCode::kTargetFailed, RunState::kUnknown,
          late ? "the runner did not answer in time" : "the runner did not complete its answer",
          Duration{0}};
}

Awaitable<void> Forwarder::Refuse(ForwardedRequest& request, Refusal refusal) {
  const Duration left =
      request.caller.time_left.value_or(kDefaultTimeLeft) - (SteadyNow() - request.arrived);
  if (refusal.retry_after > Duration{0}) {
    const double spread = 1 + kRetrySpread * Random();
    const double most = static_cast<double>(left.count()) * kRetryShareOfTimeLeft;
    refusal.retry_after = Micros(static_cast<int64_t>(
        std::min(static_cast<double>(refusal.retry_after.count()) * spread, most)));
  }
  const boost::json::object body{{"error",
                                  {{"code", std::string(Name(refusal.code))},
                                   {"message", refusal.reason},
                                   {"run_state", std::string(Name(refusal.run_state))}}}};
  HttpResponse response{refusal.status,
                        platform::RefusalHeaders(request.caller.id, refusal.retry_after),
                        boost::json::serialize(body)};
  co_await request.exchange.Respond(std::move(response));
  LogInfo("request_refused",
          {{"request", request.caller.id},
           {"route", request.route == nullptr ? "" : request.route->name},
           {"status", absl::StrCat(refusal.status)},
           {"reason", refusal.reason},
           {"retry_after_ms", Ms(refusal.retry_after)},
           {"revision", absl::StrCat(request.table ? request.table->revision : 0)},
           {"authority_age_ms", absl::StrCat(view_.AuthorityAgeMs())},
           {"attempts", absl::StrJoin(request.trail, ",")}});
  NoteRequestEnd(metrics_, request, "refused", refusal.status);
}

void Forwarder::Tick(TimePoint now) {
  for (ForwardedRequest* request : requests_) CheckRequest(*request, now);
  blame_.Confirm(now);
  channels_.CloseExpired(now);
  metrics_.Gauge("fuchsiaweir_requests_in_flight", "Requests that have not been answered.")
      .Set(static_cast<double>(requests_.size()));
  metrics_.Gauge("fuchsiaweir_runner_connections_opened", "Connections opened to runners.")
      .Set(static_cast<double>(channels_.opened()));
}

void Forwarder::CheckRequest(ForwardedRequest& request, TimePoint now) {
  if (request.route == nullptr) return;
  if (!request.caller_gone && request.exchange.peer_gone()) {
    request.caller_gone = true;
    if (request.channel != nullptr) request.channel->Close();
    return;
  }
  if (request.channel == nullptr || request.abandoned || !request.repeatable()) return;
  if (request.runs >= request.route->attempts) return;
  const RunnerState* runner = view_.runner_registry().Find(request.runner);
  const bool dead = runner != nullptr && runner->report_failed;
  const bool alive = runner != nullptr && runner->ReportFresh(now);
  const double factor = alive ? kBusySilenceFactor : kSilenceFactor;
  const Duration patience =
      Micros(static_cast<int64_t>(static_cast<double>(request.route->objective.count()) * factor));
  if (!dead && (request.first_byte || now - request.sent_at < patience)) return;
  if (!admission_.TakeRetry(request.service)) return;
  request.retry_paid = true;
  request.abandoned = true;
  request.channel->Close();
}

}  // namespace fuchsiaweir
