#include "gateway/refusal_writer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "core/millis_text.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// Retry-After times are extended by a random share up to this one, so that refused callers do not
/// return together.
constexpr double kRetryAfterJitter = 0.6;
/// Upper bound of a Retry-After as a share of the caller's remaining time. Callers honour at most a
/// third of that time.
constexpr double kMaxRetryAfterShare = 0.3;

}  // namespace

Refusal RefusalWriter::Make(const ForwardedRequest& request, const Placement& placement) {
  if (request.runs > 0) return MakeFailure(request);
  Refusal refusal;
  refusal.code = placement.refusal == PlacementRefusal::kCold      ? ErrorCode::kCold
                 : placement.refusal == PlacementRefusal::kFull    ? ErrorCode::kOverloaded
                 : placement.refusal == PlacementRefusal::kLimited ? ErrorCode::kOverloaded
                 : placement.refusal == PlacementRefusal::kPaused  ? ErrorCode::kOverloaded
                                                                   : ErrorCode::kNoTarget;
  refusal.reason = "no runner takes the request: " + std::string(Name(placement.refusal));
  refusal.retry_after = placement.retry_after;
  refusal.earliest = placement.refusal == PlacementRefusal::kPaused;
  if (placement.refusal == PlacementRefusal::kFull) {
    const Duration estimate = retry_after_estimators_[request.service].OnRefused(SteadyNow());
    refusal.retry_after = std::max(refusal.retry_after, estimate);
  }
  return refusal;
}

Refusal RefusalWriter::MakeFailure(const ForwardedRequest& request) const {
  const bool late = SteadyNow() >= request.deadline - kDeadlineTolerance;
  return {late ? 504 : 502, ErrorCode::kTargetFailed, RunState::kUnknown,
          late ? "the runner did not answer in time" : "the runner did not complete its answer",
          Duration{0}};
}

Awaitable<void> RefusalWriter::Send(ForwardedRequest& request, Refusal refusal) {
  const Duration time_left =
      request.caller.time_left.value_or(kDefaultTimeLeft) - (SteadyNow() - request.arrived_at);
  if (refusal.retry_after > Duration{0}) {
    const double spread = 1 + kRetryAfterJitter * random_.Next();
    const double max_us = refusal.earliest
                              ? std::numeric_limits<double>::max()
                              : static_cast<double>(time_left.count()) * kMaxRetryAfterShare;
    refusal.retry_after = Micros(static_cast<int64_t>(
        std::min(static_cast<double>(refusal.retry_after.count()) * spread, max_us)));
  }
  const boost::json::object body{{"error",
                                  {{"code", std::string(Name(refusal.code))},
                                   {"message", refusal.reason},
                                   {"run_state", std::string(Name(refusal.run_state))}}}};
  HttpResponse response{refusal.status,
                        platform::RefusalHeaders(request.caller.id, refusal.retry_after),
                        boost::json::serialize(body)};
  co_await request.exchange.Respond(std::move(response));
  LogInfo("request_refused", {{"request", request.caller.id},
                              {"route", !request.route ? "" : request.route->name},
                              {"status", absl::StrCat(refusal.status)},
                              {"reason", refusal.reason},
                              {"retry_after_ms", Ms(refusal.retry_after)},
                              {"revision", absl::StrCat(request.revision)},
                              {"authority_age_ms", absl::StrCat(view_.AuthorityAgeMs())},
                              {"attempts", absl::StrJoin(request.attempt_log, ",")}});
  RecordRequestEnd(metrics_, request, "refused", refusal.status);
}

}  // namespace fuchsiaweir
