#ifndef FUCHSIAWEIR_GATEWAY_FORWARDED_REQUEST_H_
#define FUCHSIAWEIR_GATEWAY_FORWARDED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error_code.h"
#include "core/route_table.h"
#include "core/run_state.h"
#include "gateway/runner_channel.h"
#include "net/http_server.h"
#include "net/metrics.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {

/// For callers that name no time limit.
constexpr Duration kDefaultTimeLeft = Seconds(10);

/// An answer of the system itself.
struct Refusal {
  int status = 503;
  ErrorCode code = ErrorCode::kOverloaded;
  RunState run_state = RunState::kNotRun;
  std::string reason;
  Duration retry_after{0};
};

/// A caller's request on its way: what was decided about it and how its attempts went.
struct ForwardedRequest {
  explicit ForwardedRequest(HttpExchange& caller_exchange) : exchange(caller_exchange) {}

  HttpExchange& exchange;
  platform::CallerRequest caller;
  std::shared_ptr<const RouteTable> table;  ///< In force when the request came.
  const Route* route = nullptr;
  const TeamSpec* team = nullptr;
  std::string service;
  std::string digest;
  uint64_t prefix_hash = 0;
  std::set<std::string> closed;
  TimePoint arrived;
  TimePoint deadline;

  std::set<std::string> tried;
  int64_t unsent = 0;
  int64_t rejected = 0;
  int64_t runs = 0;                ///< Attempts that may have run.
  std::vector<std::string> trail;  ///< Runners and how the attempts ended, for the log.

  RunnerChannel* channel = nullptr;  ///< Of the attempt under way.
  std::string runner;
  TimePoint sent_at;
  bool first_byte = false;
  bool caller_gone = false;
  bool abandoned = false;   ///< The attempt was given up in favour of another runner.
  bool retry_paid = false;  ///< The budget has already paid for the next attempt.
  int64_t last_event = 0;
  Duration first_byte_after{0};
  int failure_status = 0;  ///< Kept answer of a runner that failed.
  HttpHeaders failure_headers;
  std::string failure_body;

  bool repeatable() const { return route->Repeatable(); }
  /// Tokens that the request may take in an engine's memory.
  int64_t tokens() const { return caller.prompt_tokens + caller.output_tokens; }
  /// The team's priority takes precedence over the route's.
  int64_t priority() const {
    return team != nullptr && team->priority ? *team->priority : route->priority;
  }
  bool stream() const { return route->kind == RouteKind::kStream; }
};

/// Counts a request that has ended and writes its record. `outcome` is "delivered", "refused",
/// "runner_failed", "cut" or "caller_gone"; `status` is 0 where the caller got no status.
void NoteRequestEnd(Metrics& metrics, const ForwardedRequest& request, const std::string& outcome,
                    int status);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FORWARDED_REQUEST_H_
