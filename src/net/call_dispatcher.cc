#include "net/call_dispatcher.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace fuchsiaweir {
namespace {

Error CallError(ErrorCode code, RunState run_state, std::string message) {
  return {code, run_state, std::move(message), Duration{0}};
}

}  // namespace

CallDispatcher::CallDispatcher(HttpClient& client, ObjectApi& objects, Duration platform_timeout)
    : client_(client), objects_(objects), platform_timeout_(platform_timeout) {}

Awaitable<Result<ServiceAnswer>> CallDispatcher::Call(ServiceCall call, Service service) {
  HttpRequest request;
  request.method = call.method;
  request.target = call.path;
  if (!call.content_type.empty()) request.headers.emplace_back("Content-Type", call.content_type);
  request.body = std::move(call.body);
  CallOptions options;
  options.timeout = Millis(call.deadline_ms);
  options.fresh_connection = call.non_idempotent;
  const Endpoint endpoint{service.address, static_cast<uint16_t>(service.port)};
  HttpResult result = co_await client_.Call(endpoint, std::move(request), options);
  if (result.response) {
    co_return ServiceAnswer{result.response->status,
                            HeaderValue(result.response->headers, "Content-Type"),
                            std::move(result.response->body), false};
  }
  const bool sent = result.stage == CallStage::kSent;
  co_return CallError(ErrorCode::kTargetFailed, sent ? RunState::kUnknown : RunState::kNotRun,
                      result.failure);
}

Awaitable<Result<ServiceAnswer>> CallDispatcher::Dispatch(ServiceCall call, Service service) {
  if (!call.non_idempotent || call.idempotency_key.empty()) {
    co_return co_await Call(std::move(call), std::move(service));
  }
  const std::string key = absl::StrCat("claims/", call.team, "/", call.idempotency_key);
  const ObjectRead before = co_await objects_.Read(key, platform_timeout_);
  if (before.outcome != CallOutcome::kDone) {
    co_return CallError(ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                        "the claim cannot be recorded");
  }
  if (before.found) {
    if (before.value == "claimed") {
      co_return CallError(ErrorCode::kInProgress, RunState::kUnknown,
                          "a call with this key has no recorded outcome");
    }
    Result<ServiceAnswer> answer = DecodeServiceAnswer(before.value);
    if (answer) answer.value().replayed = true;
    co_return answer;
  }
  const ObjectWrite claim = co_await objects_.Write(key, "claimed", 0, platform_timeout_);
  if (claim.outcome != CallOutcome::kDone) {
    co_return CallError(ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                        "the claim cannot be recorded");
  }
  Result<ServiceAnswer> answer = co_await Call(std::move(call), std::move(service));
  if (answer) {
    std::string record = EncodeServiceAnswer(answer.value());
    co_await objects_.Write(key, std::move(record), claim.version, platform_timeout_);
  }
  co_return answer;
}

}  // namespace fuchsiaweir
