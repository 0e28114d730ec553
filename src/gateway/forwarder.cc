#include "gateway/forwarder.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "core/error_code.h"
#include "core/millis_text.h"
#include "core/rendezvous.h"
#include "core/unix_time.h"
#include "core/urgency.h"
#include "gateway/held_answer.h"
#include "net/log.h"
#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kTickPeriod = Millis(150);
/// Failed connections after which a request is refused. They cost the caller little time, but one
/// request must not try all runners.
constexpr int64_t kMaxUnsentAttempts = 4;
/// Refusals as not run after which a request is not sent to another runner.
constexpr int64_t kMaxRejectedAttempts = 3;
/// Share of the objective within which cached KV parts of the prompt are fetched. The runner
/// computes parts that are missing by then, which bounds the delay that a slow store causes.
constexpr double kFetchTimeShare = 0.35;
/// Each request that waits at the runner extends the fetch deadline by one share, up to this
/// number.
constexpr double kMaxFetchExtensions = 8;

/// Retry-After when runners refused the request or accepted no connection.
constexpr Duration kRejectedRetryAfter = Millis(300);
/// A runner that crashes on a request does so when it begins to answer. A request that has been
/// answered for this long is not the cause of a crash.
constexpr Duration kAnswerBegun = Millis(200);
/// A faulty runner may send an event without end.
constexpr size_t kMaxEventBytes = 1'000'000;
constexpr size_t kMaxLoggedEventBytes = 200;
/// Larger bodies are not kept for another attempt once a runner has begun to answer.
constexpr size_t kMaxRepeatedBodyBytes = 65'536;

/// Returns the content type in lower case and without parameters; empty if there is none.
std::string MediaType(const HttpHeaders& headers) {
  const std::string type = HeaderValue(headers, "Content-Type");
  return absl::AsciiStrToLower(absl::StripAsciiWhitespace(type.substr(0, type.find(';'))));
}

}  // namespace

enum class Forwarder::AttemptResult {
  kDelivered,  ///< The caller has the whole response.
  kCallerGone,
  kNotSent,     ///< No byte of the request was sent.
  kNotRun,      ///< The runner refused the request as not run.
  kOwnFailure,  ///< The runner sent an error response, which is kept.
  kUnknown,     ///< The request may have run; the caller has no part of the response.
  kCut,         ///< The stream broke off after the caller got part of it.
  kDeadlineExceeded,
};

Forwarder::Forwarder(ComponentRegistry& components, FleetView& view, PartWatch& parts,
                     MemoryBudget& memory)
    : view_(view),
      parts_(parts),
      metrics_(components.Find<Metrics>("metrics")),
      rollouts_(components.Find<RolloutControl>("rollout_control")),
      origins_(components.Find<StreamOrigins>("stream_origins")),
      random_(RendezvousHash(view.settings().name) ^ static_cast<uint64_t>(UnixMillis())),
      channels_(components.io()),
      memory_(memory),
      runner_check_(components.io(), view, channels_),
      report_probe_(components.io(), view, components.Find<HttpClients>("http_clients").external()),
      crash_attribution_(view, metrics_),
      notice_reports_(view, metrics_),
      admission_(view, crash_attribution_, metrics_),
      monitor_(view, admission_, metrics_),
      placer_(view, rollouts_, crash_attribution_, random_),
      work_observer_(view, metrics_),
      refusals_(view, metrics_, random_) {
  components.Find<TimerService>("timer").Subscribe("forwarder", kTickPeriod,
                                                   [this](TimePoint now) { Tick(now); });
}

Forwarder::~Forwarder() = default;

Awaitable<void> Forwarder::Handle(HttpExchange& exchange) {
  ForwardedRequest request(exchange);
  request.arrived_at = SteadyNow();
  request.caller = platform::DecodeCallerRequest(exchange.request());
  requests_.insert(&request);
  const absl::Cleanup ended = [this, &request]() {
    placer_.ReleaseReservation(request);
    requests_.erase(&request);
  };
  std::optional<Refusal> refusal = admission_.Admit(request);
  if (!refusal) refusal = planned_stop_.RefuseLate(request);
  if (!refusal && request.resumes_stream()) refusal = co_await origins_.AdmitResumption(request);
  if (refusal) {
    co_await refusals_.Send(request, *refusal);
    co_return;
  }
  co_await ProcessRequest(request);
  planned_stop_.OnRequestEnd(request, SteadyNow());
}

void Forwarder::EndRequests() {
  const TimePoint now = SteadyNow();
  for (ForwardedRequest* request : requests_) {
    // A stream that has begun cannot be answered otherwise; it may still end in time.
    if (!request->route || request->exchange.streaming()) continue;
    request->deadline = std::min(request->deadline, now);
    if (request->channel != nullptr) request->channel->Close();
  }
}

void Forwarder::RecordCutRequests() {
  for (ForwardedRequest* request : requests_) {
    request->attempt_log.push_back(request->runner + ":process_stopped");
    RecordRequestEnd(metrics_, *request, "cut", 0);
  }
}

Awaitable<void> Forwarder::ProcessRequest(ForwardedRequest& request) {
  while (true) {
    const Placement placement = co_await placer_.Wait(request);
    if (request.caller_gone) co_return RecordRequestEnd(metrics_, request, "caller_gone", 0);
    if (placement.runner.empty()) {
      if (request.exchange.streaming()) {
        request.exchange.Abort();
        co_return RecordRequestEnd(metrics_, request, "cut", 0);
      }
      if (request.failure_status != 0) break;
      Refusal refusal = refusals_.Make(request, placement);
      co_return co_await refusals_.Send(request, std::move(refusal));
    }
    const AttemptResult result = co_await RunAttempt(request, placement);
    view_.runner_registry().OnRequestEnd(placement.runner);
    rollouts_.OnAttemptEnd(request, placement.runner, OutcomeFor(result));
    if (result == AttemptResult::kDelivered) {
      co_return RecordRequestEnd(metrics_, request, "delivered", 200);
    }
    if (result == AttemptResult::kCallerGone) {
      co_return RecordRequestEnd(metrics_, request, "caller_gone", 0);
    }
    request.tried.insert(placement.runner);
    if (MayRetry(request, result)) continue;
    if (request.exchange.streaming()) {
      request.exchange.Abort();
      co_return RecordRequestEnd(metrics_, request, "cut", 0);
    }
    if (request.failure_status != 0 && result == AttemptResult::kOwnFailure) break;
    if (request.runs == 0) {
      Placement none = placer_.Try(request, SteadyNow());
      if (none.refusal != PlacementRefusal::kPaused) {
        none.refusal = result == AttemptResult::kNotRun ? PlacementRefusal::kFull
                                                        : PlacementRefusal::kUnreachable;
        none.retry_after = kRejectedRetryAfter;
      }
      Refusal refusal = refusals_.Make(request, none);
      co_return co_await refusals_.Send(request, std::move(refusal));
    }
    Refusal refusal = refusals_.MakeFailure(request);
    co_return co_await refusals_.Send(request, std::move(refusal));
  }
  // The caller gets the last runner's error response.
  const int status = request.failure_status;
  HttpResponse response{status, std::move(request.failure_headers),
                        std::move(request.failure_body)};
  MemoryBudget::Share* const memory = BeginDelivery(request, request.failure_memory.get());
  co_await request.exchange.Respond(std::move(response), memory);
  RecordRequestEnd(metrics_, request, "runner_failed", status);
}

bool Forwarder::MayRetry(ForwardedRequest& request, AttemptResult result) {
  const TimePoint now = SteadyNow();
  if (request.caller_gone || now >= request.deadline) return false;
  if (!crash_attribution_.MayRetry(request)) return false;
  switch (result) {
    case AttemptResult::kNotSent:
      return ++request.unsent_attempts < kMaxUnsentAttempts;
    case AttemptResult::kNotRun:
      return ++request.rejected_attempts < kMaxRejectedAttempts &&
             admission_.TryConsumeRetry(request.service);
    case AttemptResult::kOwnFailure:
    case AttemptResult::kUnknown:
    case AttemptResult::kCut:
      break;
    default:
      return false;
  }
  if (!request.repeatable() || request.runs >= request.route->attempts) return false;
  if (request.body_released) return false;
  if (std::exchange(request.retry_reserved, false)) return true;
  return admission_.TryConsumeRetry(request.service);
}

RolloutOutcome Forwarder::OutcomeFor(AttemptResult result) {
  switch (result) {
    case AttemptResult::kDelivered:
      return RolloutOutcome::kServed;
    case AttemptResult::kOwnFailure:
    case AttemptResult::kUnknown:
    case AttemptResult::kCut:
    case AttemptResult::kDeadlineExceeded:
      return RolloutOutcome::kFailed;
    case AttemptResult::kCallerGone:
      return RolloutOutcome::kLeft;
    default:
      return RolloutOutcome::kNone;
  }
}

std::string Forwarder::EncodeRunnerRequest(ForwardedRequest& request, const RunnerState& runner) {
  platform::RunnerRequestFields fields;
  fields.runner_id = runner.record.id;
  fields.time_left = request.deadline - SteadyNow();
  if (request.team) fields.team = request.team->name;
  if (request.last_event_id > request.caller.resume_after) {
    fields.resume_after = request.last_event_id;
  }
  if (!request.caller.parts.empty()) {
    fields.urgency = UrgencyOf(request.priority(), request.repeatable());
    fields.weights_version = runner.record.weights_version;
    const bool isolated = request.team && request.team->isolated;
    fields.cache_salt = CacheSalt(fields.weights_version, isolated ? request.team->name : "");
    if (fields.weights_version > 0) {
      PartPlan plan = PlanParts(request.caller.parts, fields.cache_salt, parts_.Stores(),
                                runner.record.data_centre);
      const ServiceSpec* const service = view_.Service(request.service);
      parts_.OnPlanned(request.caller.parts, plan, runner.record.data_centre,
                       service == nullptr ? 0 : service->cache_bytes_per_token);
      fields.fetch_from = std::move(plan.fetch_from);
      fields.save_to = std::move(plan.save_to);
      const TimePoint now = SteadyNow();
      if (!fields.fetch_from.empty() && runner.ReportFresh(now) &&
          runner.report->runner_time_ms > 0) {
        // A request that is queued at the runner starts its fetches late. Computing the parts
        // instead would make all other requests wait longer.
        const double waiting = static_cast<double>(runner.report->waiting);
        const Duration limit = Micros(
            static_cast<int64_t>(static_cast<double>(request.route->objective.count()) *
                                 kFetchTimeShare * (1 + std::min(waiting, kMaxFetchExtensions))));
        fields.fetch_until_ms =
            runner.report->runner_time_ms + ToMillis(now - runner.reported_at + limit);
      }
    }
  }
  return platform::EncodeRunnerHeader(request.exchange.request(), fields);
}

Awaitable<Forwarder::AttemptResult> Forwarder::RunAttempt(ForwardedRequest& request,
                                                          const Placement& placement) {
  const RunnerState* chosen = view_.runner_registry().Find(placement.runner);
  if (chosen == nullptr) co_return AttemptResult::kNotSent;
  const Endpoint endpoint{chosen->record.address, chosen->record.port};
  const Duration cold_time = view_.ColdTime(request.service);
  std::string id = request.caller.id;
  RunnerChannelPool::Acquired acquired = co_await channels_.Acquire(
      endpoint, std::move(id), request.repeatable(), kRunnerConnectTimeout);
  const TimePoint now = SteadyNow();
  if (acquired.channel == nullptr) {
    view_.runner_registry().OnAttemptOutcome(placement.runner, acquired.outcome, cold_time, now);
    request.attempt_log.push_back(placement.runner + ":unreachable");
    LogInfo("runner_unreachable", {{"request", request.caller.id},
                                   {"runner", placement.runner},
                                   {"reason", acquired.failure}});
    co_return AttemptResult::kNotSent;
  }
  // The runner may have been removed while the connection was opened.
  chosen = view_.runner_registry().Find(placement.runner);
  if (request.caller_gone || request.exchange.peer_closed()) {
    channels_.Release(endpoint, std::move(acquired.channel));
    co_return AttemptResult::kCallerGone;
  }
  if (now >= request.deadline) co_return AttemptResult::kDeadlineExceeded;
  if (chosen == nullptr || !placer_.TakesRequest(request, *chosen, now)) {
    channels_.Release(endpoint, std::move(acquired.channel));
    co_return AttemptResult::kNotSent;
  }
  std::string header = EncodeRunnerRequest(request, *chosen);
  LogInfo("request_sent", {{"request", request.caller.id},
                           {"route", request.route->name},
                           {"runner", placement.runner},
                           {"home", placement.home},
                           {"load", absl::StrCat(chosen->Load(now, 1))},
                           {"report_age_ms", chosen->report ? Ms(now - chosen->reported_at) : "-1"},
                           {"cold", chosen->Cold(now) ? "yes" : "no"},
                           {"weights", absl::StrCat(chosen->record.weights_version)},
                           {"revision", absl::StrCat(request.revision)},
                           {"left_ms", Ms(request.deadline - now)},
                           {"reused", acquired.reused ? "yes" : "no"}});
  request.channel = acquired.channel.get();
  request.runner = placement.runner;
  request.runner_started_ms = chosen->started_ms;
  request.runner_version = chosen->record.version;
  request.sent_at = now;
  request.last_byte_at = now;
  request.silent_for = Duration{0};
  request.abandoned = false;
  request.withdrawn = false;
  request.first_byte_received = false;
  request.answer_recorded = false;
  request.channel->ExpireAfter(request.deadline - now);
  crash_attribution_.OnSent(request);
  rollouts_.OnSent(request, *chosen, now);
  work_observer_.OnSent(request, placement, *chosen, now);
  const AttemptResult result =
      co_await ExchangeMessages(request, *request.channel, placement.runner, std::move(header));
  request.channel = nullptr;
  // The connection may have gone silent together with those that were idle when the request was
  // sent. Each of them would cost another request.
  const bool silent = request.abandoned || result == AttemptResult::kDeadlineExceeded;
  if (acquired.reused && silent && !request.first_byte_received) {
    channels_.CloseIdleSince(endpoint, request.sent_at);
  }
  if (view_.runner_registry().notices().Leaving(placement.runner)) {
    channels_.CloseIdleSince(endpoint, SteadyNow());
    co_return result;
  }
  channels_.Release(endpoint, std::move(acquired.channel));
  co_return result;
}

Awaitable<Forwarder::AttemptResult> Forwarder::ExchangeMessages(ForwardedRequest& request,
                                                                RunnerChannel& channel,
                                                                const std::string& runner,
                                                                std::string header) {
  ++request.runs;
  const Duration cold_time = view_.ColdTime(request.service);
  RunnerRegistry& runner_registry = view_.runner_registry();
  RunnerHeader runner_header;
  bool received = co_await channel.Send(std::move(header), request.exchange.request().body);
  if (received) received = co_await channel.ReadHeader(request.caller.id, runner_header);
  if (!received) co_return RecordBrokenAttempt(request, channel, runner);
  request.last_byte_at = SteadyNow();
  runner_registry.OnHeard(runner);
  const platform::RunnerAnswer& answer = runner_header.answer;
  const bool success = answer.status / 100 == 2;
  notice_reports_.OnAnswer(runner, request.runner_started_ms, answer);
  if (!answer.not_run && (!answer.has_receipt || answer.encoded)) {
    channel.Close();
    co_return RecordBrokenAttempt(request, channel, runner);
  }
  if (request.exchange.streaming() && !answer.not_run && !ContinuesStream(request, runner_header)) {
    channel.Close();
    runner_registry.OnAttemptOutcome(runner, AttemptOutcome::kOwnFailure, cold_time, SteadyNow());
    request.attempt_log.push_back(absl::StrCat(runner, ":not_resumed_", answer.status));
    co_return AttemptResult::kCut;
  }
  // Claimed before the body gives up its room, which the answer needs.
  std::unique_ptr<MemoryBudget::Share> memory = HoldAnswer(memory_, request, runner_header);
  // The body and the answer of a request would otherwise be held together, beyond the memory.
  const bool large = request.exchange.request().body.size() > kMaxRepeatedBodyBytes;
  const bool last_attempt = !request.repeatable() || request.runs >= request.route->attempts;
  if (!answer.not_run && (last_attempt || (success && large))) {
    request.exchange.ReleaseBody();
    request.body_released = true;
  }
  if (success && request.is_stream()) {
    memory.reset();
    const AttemptResult result = co_await RelayStream(request, channel, runner_header, runner);
    co_return result;
  }
  std::string body;
  RunnerChannel::Read read = RunnerChannel::Read::kData;
  while (read == RunnerChannel::Read::kData) {
    read = co_await channel.ReadBody(body);
    request.last_byte_at = SteadyNow();
    if (read != RunnerChannel::Read::kBroken) runner_registry.OnHeard(runner);
    if (!memory->Resize(static_cast<int64_t>(body.size()))) read = RunnerChannel::Read::kBroken;
  }
  memory->Complete();
  if (answer.not_run) {
    --request.runs;
    runner_registry.OnAttemptOutcome(runner,
                                     answer.moved ? AttemptOutcome::kMoved : AttemptOutcome::kFull,
                                     cold_time, SteadyNow());
    request.attempt_log.push_back(absl::StrCat(runner, ":", answer.moved ? "moved" : "full"));
    co_return AttemptResult::kNotRun;
  }
  if (read == RunnerChannel::Read::kBroken) co_return RecordBrokenAttempt(request, channel, runner);
  request.time_to_first_byte = SteadyNow() - request.arrived_at;
  // The status would promise the caller what the runner does not: that the request has not run.
  if (answer.promises_not_run && !request.repeatable()) {
    runner_registry.OnAttemptOutcome(runner, AttemptOutcome::kOwnFailure, cold_time, SteadyNow());
    request.attempt_log.push_back(absl::StrCat(runner, ":unproved_status_", answer.status));
    co_return AttemptResult::kUnknown;
  }
  if (answer.status >= 500) {
    runner_registry.OnAttemptOutcome(runner, AttemptOutcome::kOwnFailure, cold_time, SteadyNow());
    request.attempt_log.push_back(absl::StrCat(runner, ":status_", answer.status));
    request.failure_status = answer.status;
    request.failure_headers = platform::CallerHeaders(runner_header.fields);
    request.failure_body = std::move(body);
    request.failure_memory = std::move(memory);
    co_return AttemptResult::kOwnFailure;
  }
  runner_registry.OnAttemptOutcome(runner, AttemptOutcome::kServed, cold_time, SteadyNow());
  crash_attribution_.OnAnswer(request, SteadyNow());
  monitor_.OnAnswer(request.service, SteadyNow() - request.sent_at, SteadyNow());
  request.attempt_log.push_back(absl::StrCat(runner, ":status_", answer.status));
  HttpResponse response{answer.status, platform::CallerHeaders(runner_header.fields),
                        std::move(body)};
  MemoryBudget::Share* const delivered = BeginDelivery(request, memory.get());
  const bool written = co_await request.exchange.Respond(std::move(response), delivered);
  co_return written ? AttemptResult::kDelivered : AttemptResult::kCallerGone;
}

bool Forwarder::ContinuesStream(const ForwardedRequest& request, const RunnerHeader& header) {
  return header.answer.status == request.stream_status &&
         MediaType(header.fields) == request.stream_media_type;
}

bool Forwarder::TakeEvents(ForwardedRequest& request, EventSplitter& splitter, EventCheck& check,
                           std::string& events) {
  while (std::optional<StreamEvent> event = splitter.Next()) {
    switch (check.Check(*event, request.last_event_id)) {
      case EventVerdict::kForward:
        request.last_event_id = event->id.value_or(request.last_event_id);
        events += event->bytes;
        break;
      case EventVerdict::kDuplicate:
        break;
      case EventVerdict::kMalformed:
        LogWarning("event_malformed", {{"request", request.caller.id},
                                       {"runner", request.runner},
                                       {"event", event->bytes.substr(0, kMaxLoggedEventBytes)}});
        return false;
    }
  }
  return true;
}

Awaitable<Forwarder::AttemptResult> Forwarder::RelayStream(ForwardedRequest& request,
                                                           RunnerChannel& channel,
                                                           const RunnerHeader& header,
                                                           const std::string& runner) {
  EventSplitter splitter;
  EventCheck check(request.exchange.streaming());
  std::string received;
  const std::unique_ptr<MemoryBudget::Share> memory = HoldAnswer(memory_, request, header);
  while (true) {
    RunnerChannel::Read read = co_await channel.ReadBody(received);
    if (!received.empty()) {
      request.last_byte_at = SteadyNow();
      view_.runner_registry().OnHeard(runner);
    }
    splitter.Add(received);
    received.clear();
    std::string events;
    if (!TakeEvents(request, splitter, check, events)) read = RunnerChannel::Read::kBroken;
    if (!memory->Resize(static_cast<int64_t>(events.capacity() + splitter.PartialBytes()))) {
      read = RunnerChannel::Read::kBroken;
    }
    const bool complete = read == RunnerChannel::Read::kEnd && !splitter.HasPartialEvent();
    if (!events.empty() || complete) {
      if (!request.first_byte_received) {
        request.first_byte_received = true;
        request.first_byte_at = SteadyNow();
        monitor_.OnAnswer(request.service, request.first_byte_at - request.sent_at,
                          request.first_byte_at);
        work_observer_.OnFirstEvent(request);
        if (request.time_to_first_byte == Duration{0}) {
          request.time_to_first_byte = SteadyNow() - request.arrived_at;
        }
      }
      if (!request.stream_version) {
        // Recorded before the caller has an event that it could name.
        request.stream_version = request.runner_version;
        origins_.OnBegun(request.service, request.caller.id, request.runner_version);
      }
      const auto event_bytes = static_cast<int64_t>(events.size());
      BeginDelivery(request, memory.get());
      bool written = true;
      if (request.exchange.waiting()) {
        HttpHeaders fields = platform::CallerHeaders(header.fields);
        request.stream_status = header.answer.status;
        request.stream_media_type = MediaType(header.fields);
        written = co_await request.exchange.BeginStream(header.answer.status, std::move(fields));
      }
      if (written) written = co_await request.exchange.WriteChunk(std::move(events));
      if (written && complete) written = co_await request.exchange.EndStream();
      if (!written) {
        channel.Close();
        co_return AttemptResult::kCallerGone;
      }
      request.delivering = false;
      memory->SetPhase(MemoryBudget::Phase::kReceiving);
      memory->AddProgress(event_bytes);
    }
    if (request.first_byte_received && !request.answer_recorded &&
        (complete || SteadyNow() - request.first_byte_at >= kAnswerBegun)) {
      request.answer_recorded = true;
      crash_attribution_.OnAnswer(request, request.first_byte_at);
    }
    if (complete) {
      view_.runner_registry().OnAttemptOutcome(runner, AttemptOutcome::kServed, Duration{0},
                                               SteadyNow());
      request.attempt_log.push_back(runner + ":served");
      work_observer_.OnComplete(request);
      co_return AttemptResult::kDelivered;
    }
    if (read != RunnerChannel::Read::kData || splitter.PartialBytes() > kMaxEventBytes) {
      channel.Close();
      co_return RecordBrokenAttempt(request, channel, runner);
    }
  }
}

Forwarder::AttemptResult Forwarder::RecordBrokenAttempt(ForwardedRequest& request,
                                                        RunnerChannel& channel,
                                                        const std::string& runner) {
  const TimePoint now = SteadyNow();
  if (request.caller_gone) return AttemptResult::kCallerGone;
  if (request.withdrawn) {
    request.attempt_log.push_back(runner + ":withdrawn");
    return AttemptResult::kUnknown;
  }
  const bool time_up = now >= request.deadline - kDeadlineTolerance;
  const bool silent = request.abandoned || time_up;
  const RunnerState* state = view_.runner_registry().Find(runner);
  // A weight load aborts runs on purpose, so a broken attempt is no sign of a failing runner.
  const bool loading = state != nullptr && state->ReportFresh(now) &&
                       state->report->phase != WeightLoadPhase::kServing;
  if (!loading && (!time_up || !request.first_byte_received)) {
    view_.runner_registry().OnAttemptOutcome(
        runner, silent ? AttemptOutcome::kSilent : AttemptOutcome::kBroken,
        view_.ColdTime(request.service), now);
  }
  request.attempt_log.push_back(absl::StrCat(runner, ":",
                                             time_up  ? "time_up"
                                             : silent ? "silent"
                                                      : "broken"));
  LogInfo("runner_failed",
          {{"request", request.caller.id},
           {"runner", runner},
           {"sign", silent ? "silent" : "broken"},
           {"after_ms", Ms(now - request.sent_at)},
           {"answered_ms",
            request.first_byte_received ? Ms(now - request.first_byte_at) : std::string("-1")},
           {"parts", absl::StrJoin(request.SharedParts(), ",")},
           {"reason", channel.failure()}});
  if (time_up) return AttemptResult::kDeadlineExceeded;
  const bool answering = request.first_byte_received && now - request.first_byte_at >= kAnswerBegun;
  if (!silent && !loading && !answering) {
    crash_attribution_.OnRunnerLost(request, runner);
    runner_check_.Start(runner);
  }
  return request.exchange.streaming() ? AttemptResult::kCut : AttemptResult::kUnknown;
}

void Forwarder::Tick(TimePoint now) {
  monitor_.OnTimer(now, kTickPeriod);
  report_probe_.OnTimer();
  for (ForwardedRequest* request : requests_) CheckAttempt(*request, now);
  crash_attribution_.ConfirmCrashes(now);
  channels_.CloseExpired(now);
  metrics_.Gauge("fuchsiaweir_requests_in_flight", "Requests that have not been answered.")
      .Set(static_cast<double>(requests_.size()));
  view_.runner_registry().notices().Expire(now);
  metrics_.Gauge("fuchsiaweir_limited_runners", "Runners that have named a limit of requests.")
      .Set(static_cast<double>(view_.runner_registry().notices().limited()));
  metrics_.Gauge("fuchsiaweir_runner_connections_opened", "Connections opened to runners.")
      .Set(static_cast<double>(channels_.opened()));
}

void Forwarder::CheckAttempt(ForwardedRequest& request, TimePoint now) {
  if (!request.route) return;
  if (!request.caller_gone && request.exchange.peer_closed()) {
    request.caller_gone = true;
    if (request.channel != nullptr) monitor_.Cancel(request, "caller_left", now);
    return;
  }
  if (request.channel == nullptr || request.abandoned) return;
  // A runner drops a request whose connection is closed, so this saves the runner.
  if (request.is_stream() && !request.first_byte_received &&
      crash_attribution_.Refused(request, now)) {
    request.withdrawn = true;
    monitor_.Cancel(request, "refused", now);
    return;
  }
  Placement other;
  const auto has_other = [&]() {
    other = placer_.FindOther(request, now);
    return !other.runner.empty();
  };
  if (!monitor_.ShouldAbandon(request, has_other, now)) return;
  // Many attempts may be given up at the same time, and each needs a place of its own.
  placer_.Count(request, other.runner, now);
  request.reserved = std::move(other);
  request.abandoned = true;
  monitor_.Cancel(request, "abandoned", now);
}

}  // namespace fuchsiaweir
