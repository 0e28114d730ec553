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

// Pauses after a failed platform call, so that queued outcomes do not press on a platform that is
// down.
constexpr Duration kFirstPause = Millis(20);
constexpr Duration kLongestPause = Seconds(1);

// An object of 41 kB takes about three times that in memory, so that this bounds it to 8 MB.
constexpr size_t kMaxIdleShards = 64;

constexpr size_t kDigestDigits = 32;

std::string NewNonce() {
  thread_local absl::BitGen generator;
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16));
}

Error CallError(ErrorCode code, RunState run_state, std::string message,
                Duration retry_after = Duration{0}) {
  return {code, run_state, std::move(message), retry_after};
}

RequestStage StageOf(CallStage stage) {
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

PlatformOutcome OutcomeOf(const ObjectWrite& write) {
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
  // Fields are separated by bytes that cannot occur in them, so that no two requests share a text.
  const std::string request = absl::StrCat(call.service, "\n", call.method, "\n", call.path, "\n",
                                           call.content_type, "\n", call.body);
  proposal.digest = Sha256Hex(request).substr(0, kDigestDigits);
  proposal.key_time_ms = IdempotencyKeyTime(call.idempotency_key).value_or(UnixMillis());
  return proposal;
}

Result<ServiceResponse> Replay(const ClaimOutcome& outcome) {
  if (!outcome.body) {
    return CallError(
        ErrorCode::kConflict, RunState::kRan,
        absl::StrCat("the call ran and its answer with status ", outcome.status, " was not kept"));
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
  std::map<int64_t, std::string> abandoned;  ///< Nonces of calls that stopped waiting.
  bool pumping = false;
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
    co_return CallError(ErrorCode::kTargetFailed, RunOutcome(StageOf(result.stage)),
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
  Result<ServiceResponse> answer =
      CallError(ErrorCode::kTimeout, RunState::kNotRun, "the claim took until the deadline");
  if (SteadyNow() < deadline) {
    answer = co_await Call(std::move(call), std::move(service), deadline);
  }
  if (answer) {
    const ServiceResponse& sent = answer.value();
    shard->writer.RecordOutcome(nonce, {sent.status, sent.body, sent.content_type});
  } else if (answer.error().run_state == RunState::kNotRun) {
    shard->writer.Release(nonce);
  }
  // Any other error leaves the claim without an outcome, which refuses every retry.
  Wake(shard);
  co_return answer;
}

Awaitable<Result<ServiceResponse>> CallDispatcher::Dispatch(ServiceCall call, Service service,
                                                            Duration claim_lifetime) {
  const TimePoint start = SteadyNow();
  const TimePoint deadline = start + Millis(call.deadline_ms);
  if (!call.non_idempotent || call.idempotency_key.empty()) {
    co_return co_await Call(std::move(call), std::move(service), deadline);
  }
  ClaimProposal proposal = MakeProposal(call);
  const std::shared_ptr<Shard> shard = ShardOf(proposal.id, claim_lifetime);
  // Half of the time remains for the service, which must not be called when it cannot answer.
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

std::shared_ptr<CallDispatcher::Shard> CallDispatcher::ShardOf(const std::string& claim_id,
                                                               Duration claim_lifetime) {
  const std::string name = ClaimShardName(claim_id);
  const auto found = shards_.find(name);
  if (found != shards_.end()) return found->second;
  DropIdleShards();
  ClaimRules rules;
  rules.lifetime_ms = ToMillis(claim_lifetime);
  return shards_.emplace(name, std::make_shared<Shard>(name, rules)).first->second;
}

void CallDispatcher::DropIdleShards() {
  if (shards_.size() < kMaxIdleShards) return;
  // A shard in use has other owners: its pump or the calls that hold its claims.
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
  Wake(shard);
  boost::system::error_code woken;
  waiter.wake.expires_at(deadline);
  // A verdict from the known content may have come before the wait.
  if (!waiter.verdict) {
    co_await waiter.wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  if (waiter.verdict) co_return std::move(*waiter.verdict);
  shard->waiters.erase(ticket);
  shard->abandoned[ticket] = nonce;
  ClaimVerdict late;
  late.refusal = CallError(ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                           "the key could not be claimed in time", Seconds(1));
  co_return late;
}

void CallDispatcher::Wake(const std::shared_ptr<Shard>& shard) {
  if (shard->pumping) return;
  shard->pumping = true;
  Spawn(io_, "claim_writer", [this, shard]() { return Pump(shard); });
}

Awaitable<void> CallDispatcher::Pump(std::shared_ptr<Shard> shard) {
  Duration pause = kFirstPause;
  while (true) {
    const ClaimStep step = shard->writer.Next(UnixMillis());
    Deliver(*shard);
    if (step == ClaimStep::kNone) break;
    const bool reached = co_await Step(shard, step);
    Deliver(*shard);
    if (reached) {
      pause = kFirstPause;
      continue;
    }
    co_await SleepFor(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
  shard->pumping = false;
}

Awaitable<bool> CallDispatcher::Step(std::shared_ptr<Shard> shard, ClaimStep step) {
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
  const PlatformOutcome outcome = OutcomeOf(write);
  if (outcome == PlatformOutcome::kConflict) conflicts_.Increment();
  shard->writer.WriteEnded(outcome, write.version);
  co_return outcome != PlatformOutcome::kNotDone;
}

void CallDispatcher::Deliver(Shard& shard) {
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

Awaitable<void> CallDispatcher::Flush(Duration limit) {
  const TimePoint end = SteadyNow() + limit;
  const auto pumping = [](const auto& item) { return item.second->pumping; };
  while (std::any_of(shards_.begin(), shards_.end(), pumping) && SteadyNow() < end) {
    co_await SleepFor(Millis(10));
  }
}

}  // namespace fuchsiaweir
