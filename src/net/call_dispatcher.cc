#include "net/call_dispatcher.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "core/digest.h"
#include "core/run_outcome.h"
#include "core/unix_time.h"

namespace fuchsiaweir {
namespace {

// Backoff after a failed platform call, so that queued outcomes do not overload a platform that is
// down.
constexpr Duration kInitialBackoff = Millis(20);
constexpr Duration kMaxBackoff = Seconds(1);

// A shard object of 41 kB takes about three times that in memory, so 64 shards take 8 MB.
constexpr size_t kMaxIdleShards = 64;

constexpr size_t kDigestDigits = 32;
constexpr Duration kClaimRetryAfter = Seconds(1);
constexpr Duration kFlushPollInterval = Millis(10);

std::string NewNonce() {
  thread_local absl::BitGen generator;
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16));
}

Error CallError(ErrorCode code, RunState run_state, std::string message,
                Duration retry_after = Duration{0}) {
  return {code, run_state, std::move(message), retry_after};
}

RequestStage ToRequestStage(CallStage stage) {
  switch (stage) {
    case CallStage::kNotConnected:
      return RequestStage::kNotConnected;
    case CallStage::kNotSent:
      return RequestStage::kConnectedNothingSent;
    case CallStage::kSent:
      return RequestStage::kWriteStarted;
    case CallStage::kAnswered:
      return RequestStage::kAnswered;
  }
  return RequestStage::kWriteStarted;
}

PlatformOutcome ToPlatformOutcome(const ObjectWrite& write) {
  if (write.conflict) return PlatformOutcome::kConflict;
  switch (write.outcome) {
    case CallOutcome::kDone:
      return PlatformOutcome::kDone;
    case CallOutcome::kNotDone:
      return PlatformOutcome::kNotDone;
    case CallOutcome::kUnknown:
      return PlatformOutcome::kUnknown;
  }
  return PlatformOutcome::kUnknown;
}

ClaimProposal MakeProposal(const ServiceCall& call) {
  ClaimProposal proposal;
  proposal.id = ClaimId(call.team, call.idempotency_key);
  proposal.nonce = NewNonce();
  // The fields before the body cannot contain the separator, so each text belongs to one request.
  const std::string request = absl::StrCat(call.service, "\n", call.method, "\n", call.path, "\n",
                                           call.content_type, "\n", call.body);
  proposal.digest = Sha256Hex(request).substr(0, kDigestDigits);
  proposal.key_time_ms = IdempotencyKeyTime(call.idempotency_key).value_or(UnixMillis());
  return proposal;
}

Result<ServiceResponse> Replay(const ClaimOutcome& outcome) {
  if (!outcome.body) {
    return CallError(ErrorCode::kConflict, RunState::kRan,
                     absl::StrCat("the call ran and its response with status ", outcome.status,
                                  " was too large to be stored"));
  }
  return ServiceResponse{outcome.status, outcome.content_type, *outcome.body, true};
}

}  // namespace

struct CallDispatcher::Waiter {
  explicit Waiter(boost::asio::io_context& io) : wake(io) {}

  boost::asio::steady_timer wake;
  std::optional<ClaimVerdict> verdict;
};

struct CallDispatcher::Shard {
  Shard(std::string object_name, ClaimRules rules) : name(std::move(object_name)), writer(rules) {}

  std::string name;
  ClaimWriter writer;
  std::map<int64_t, Waiter*> waiters;        ///< By ticket.
  std::map<int64_t, std::string> abandoned;  ///< Nonces, by ticket, of calls whose wait timed out.
  bool processing = false;
};

CallDispatcher::CallDispatcher(boost::asio::io_context& io, HttpClient& client, ObjectApi& objects,
                               Metrics& metrics, Duration platform_timeout)
    : io_(io),
      client_(client),
      objects_(objects),
      platform_timeout_(platform_timeout),
      proposals_(metrics.Counter("fw_claim_proposals_total", "Claims asked for")),
      writes_(metrics.Counter("fw_claim_writes_total", "Writes of claim shards")),
      conflicts_(metrics.Counter("fw_claim_conflicts_total",
                                 "Writes of claim shards that another agent overtook")) {}

Awaitable<Result<ServiceResponse>> CallDispatcher::Call(ServiceCall call, Service service,
                                                        TimePoint deadline) {
  HttpRequest request;
  request.method = call.method;
  request.target = call.path;
  if (!call.content_type.empty()) request.headers.emplace_back("Content-Type", call.content_type);
  if (!call.idempotency_key.empty()) {
    request.headers.emplace_back("Idempotency-Key", call.idempotency_key);
  }
  request.body = std::move(call.body);
  CallOptions options;
  options.timeout = deadline - SteadyNow();
  options.fresh_connection = call.non_idempotent;
  const Endpoint endpoint{service.address, static_cast<uint16_t>(service.port)};
  HttpResult result = co_await client_.Call(endpoint, std::move(request), options);
  if (!result.response) {
    co_return CallError(ErrorCode::kTargetFailed, RunOutcome(ToRequestStage(result.stage)),
                        result.failure);
  }
  co_return ServiceResponse{result.response->status,
                            HeaderValue(result.response->headers, "Content-Type"),
                            std::move(result.response->body), false};
}

Awaitable<Result<ServiceResponse>> CallDispatcher::CallClaimed(std::shared_ptr<Shard> shard,
                                                               std::string nonce, ServiceCall call,
                                                               Service service,
                                                               TimePoint deadline) {
  Result<ServiceResponse> result =
      CallError(ErrorCode::kTimeout, RunState::kNotRun,
                "the request deadline passed while its key was being claimed");
  if (SteadyNow() < deadline) {
    result = co_await Call(std::move(call), std::move(service), deadline);
  }
  if (result) {
    const ServiceResponse& response = result.value();
    shard->writer.RecordOutcome(nonce, {response.status, response.body, response.content_type});
  } else if (result.error().run_state == RunState::kNotRun) {
    shard->writer.Release(nonce);
  }
  // After any other error the claim has no outcome, so every retry is refused.
  StartProcessing(shard);
  co_return result;
}

Awaitable<Result<ServiceResponse>> CallDispatcher::Dispatch(ServiceCall call, Service service,
                                                            Duration claim_lifetime) {
  const TimePoint start = SteadyNow();
  const TimePoint deadline = start + Millis(call.deadline_ms);
  if (!call.non_idempotent || call.idempotency_key.empty()) {
    co_return co_await Call(std::move(call), std::move(service), deadline);
  }
  ClaimProposal proposal = MakeProposal(call);
  const std::shared_ptr<Shard> shard = FindOrCreateShard(proposal.id, claim_lifetime);
  // The other half of the time is for the service, which must not be called without the time to
  // respond.
  const TimePoint claim_deadline = start + Millis(call.deadline_ms) / 2;
  ClaimVerdict verdict = co_await Claim(shard, proposal, claim_deadline);
  if (verdict.refusal && verdict.refusal->code == ErrorCode::kInProgress) {
    // Another agent may have recorded the outcome after this one read the shard.
    shard->writer.Invalidate();
    verdict = co_await Claim(shard, proposal, claim_deadline);
  }
  if (verdict.refusal) co_return *verdict.refusal;
  if (verdict.replay) co_return Replay(*verdict.replay);
  co_return co_await CallClaimed(shard, proposal.nonce, std::move(call), std::move(service),
                                 deadline);
}

std::shared_ptr<CallDispatcher::Shard> CallDispatcher::FindOrCreateShard(
    const std::string& claim_id, Duration claim_lifetime) {
  const std::string name = ClaimShardName(claim_id);
  const auto found = shards_.find(name);
  if (found != shards_.end()) return found->second;
  EvictIdleShards();
  ClaimRules rules;
  rules.lifetime_ms = ToMillis(claim_lifetime);
  return shards_.emplace(name, std::make_shared<Shard>(name, rules)).first->second;
}

void CallDispatcher::EvictIdleShards() {
  if (shards_.size() < kMaxIdleShards) return;
  // A shard in use has other owners: its processing task or the calls that hold its claims.
  std::erase_if(shards_, [](const auto& item) { return item.second.use_count() == 1; });
}

Awaitable<ClaimVerdict> CallDispatcher::Claim(std::shared_ptr<Shard> shard, ClaimProposal proposal,
                                              TimePoint deadline) {
  Waiter waiter(io_);
  proposal.ticket = ++last_ticket_;
  const int64_t ticket = proposal.ticket;
  const std::string nonce = proposal.nonce;
  shard->waiters[ticket] = &waiter;
  shard->writer.Propose(std::move(proposal));
  proposals_.Increment();
  StartProcessing(shard);
  boost::system::error_code woken;
  waiter.wake.expires_at(deadline);
  // A verdict from the cached shard may be available already.
  if (!waiter.verdict) {
    co_await waiter.wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  if (waiter.verdict) co_return std::move(*waiter.verdict);
  shard->waiters.erase(ticket);
  shard->abandoned[ticket] = nonce;
  ClaimVerdict timed_out;
  timed_out.refusal =
      CallError(ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                "the idempotency key could not be claimed in time", kClaimRetryAfter);
  co_return timed_out;
}

void CallDispatcher::StartProcessing(const std::shared_ptr<Shard>& shard) {
  if (shard->processing) return;
  shard->processing = true;
  Spawn(io_, "claim_writer", [this, shard]() { return ProcessShard(shard); });
}

Awaitable<void> CallDispatcher::ProcessShard(std::shared_ptr<Shard> shard) {
  Duration backoff = kInitialBackoff;
  while (true) {
    const ClaimStep step = shard->writer.Next(UnixMillis());
    DeliverVerdicts(*shard);
    if (step == ClaimStep::kNone) break;
    const bool reached = co_await ExecuteStep(shard, step);
    DeliverVerdicts(*shard);
    if (reached) {
      backoff = kInitialBackoff;
      continue;
    }
    co_await SleepFor(backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
  shard->processing = false;
}

Awaitable<bool> CallDispatcher::ExecuteStep(std::shared_ptr<Shard> shard, ClaimStep step) {
  if (step == ClaimStep::kRead) {
    const ObjectRead read = co_await objects_.Read(shard->name, platform_timeout_);
    const bool done = read.outcome == CallOutcome::kDone;
    if (done) shard->writer.ReadDone(read.version, read.value);
    if (!done) shard->writer.ReadFailed();
    co_return done;
  }
  writes_.Increment();
  const ObjectWrite write = co_await objects_.Write(shard->name, shard->writer.body(),
                                                    shard->writer.version(), platform_timeout_);
  const PlatformOutcome outcome = ToPlatformOutcome(write);
  if (outcome == PlatformOutcome::kConflict) conflicts_.Increment();
  shard->writer.WriteEnded(outcome, write.version);
  co_return outcome != PlatformOutcome::kNotDone;
}

void CallDispatcher::DeliverVerdicts(Shard& shard) {
  for (ClaimVerdict& verdict : shard.writer.TakeVerdicts()) {
    const auto waiter = shard.waiters.find(verdict.ticket);
    if (waiter != shard.waiters.end()) {
      waiter->second->verdict = std::move(verdict);
      waiter->second->wake.cancel();
      shard.waiters.erase(waiter);
      continue;
    }
    const auto abandoned = shard.abandoned.find(verdict.ticket);
    if (abandoned == shard.abandoned.end()) continue;
    if (!verdict.refusal && !verdict.replay) shard.writer.Release(abandoned->second);
    shard.abandoned.erase(abandoned);
  }
}

Awaitable<void> CallDispatcher::Flush(Duration timeout) {
  const TimePoint end = SteadyNow() + timeout;
  const auto processing = [](const auto& item) { return item.second->processing; };
  while (std::any_of(shards_.begin(), shards_.end(), processing) && SteadyNow() < end) {
    co_await SleepFor(kFlushPollInterval);
  }
}

}  // namespace fuchsiaweir
