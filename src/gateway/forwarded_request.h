#ifndef FUCHSIAWEIR_GATEWAY_FORWARDED_REQUEST_H_
#define FUCHSIAWEIR_GATEWAY_FORWARDED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error_code.h"
#include "core/memory_budget.h"
#include "core/placement.h"
#include "core/route_table.h"
#include "core/run_state.h"
#include "gateway/rollout_attempt.h"
#include "gateway/runner_channel.h"
#include "net/http_server.h"
#include "net/metrics.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {

/// Time limit of requests whose callers give none.
constexpr Duration kDefaultTimeLeft = Seconds(10);

/// An error response of the gateway itself, as opposed to a runner's.
struct Refusal {
  int status = 503;
  ErrorCode code = ErrorCode::kOverloaded;
  RunState run_state = RunState::kNotRun;
  std::string reason;
  Duration retry_after{0};
  /// The request cannot be served earlier, so the time is not shortened to what callers wait.
  bool earliest = false;
};

/// What was expected of an attempt when it was sent.
struct SentWork {
  int64_t uncached_tokens = 0;
  double slowdown = 1;               ///< Of the runner.
  bool queued = false;               ///< Other requests were ahead of it at the runner.
  std::optional<Duration> expected;  ///< Time to the first event.
};

/// State of a caller's request: the decisions about it and its attempts.
struct ForwardedRequest {
  explicit ForwardedRequest(HttpExchange& caller_exchange) : exchange(caller_exchange) {}

  HttpExchange& exchange;
  platform::CallerRequest caller;
  int64_t revision = 0;  ///< Of the desired state when the request arrived; 0: none was known.
  // Copies. A reference to the desired state would keep all of it for as long as the request lasts.
  std::optional<Route> route;
  std::optional<TeamSpec> team;
  std::string service;
  std::vector<std::string> traits;  ///< What may crash its runner; see `RequestTraits`.
  uint64_t prefix_hash = 0;
  std::set<std::string> closed_data_centres;  ///< May not serve the request.
  TimePoint arrived_at;
  TimePoint deadline;

  std::set<std::string> tried;  ///< Runners of earlier attempts.
  int64_t unsent_attempts = 0;
  int64_t rejected_attempts = 0;         ///< Answered as not run.
  int64_t runs = 0;                      ///< Attempts that may have run.
  std::vector<std::string> attempt_log;  ///< Runner and outcome of each attempt.

  RunnerChannel* channel = nullptr;  ///< Channel of the attempt in progress, or null.
  std::string runner;
  int64_t runner_started_ms = 0;  ///< Start of the runner, Unix time; 0: not known.
  std::string runner_version;     ///< Of the software of the runner.
  TimePoint sent_at;
  std::optional<SentWork> sent_work;  ///< Of the attempt in progress.
  bool first_byte_received = false;   ///< By the attempt in progress; streams only.
  TimePoint first_byte_at;
  TimePoint last_byte_at;        ///< Last byte of the answer, or when the attempt was sent.
  Duration silent_for{0};        ///< Time since `last_byte_at` in which this process ran.
  bool answer_recorded = false;  ///< The answer's begin was reported to `CrashAttribution`.
  bool withdrawn = false;  ///< The attempt was cancelled because requests like it are refused.
  bool caller_gone = false;
  bool abandoned = false;       ///< The attempt was cancelled in favour of another runner.
  bool retry_reserved = false;  ///< The next attempt was already taken from the retry budget.
  Placement reserved;           ///< Of the next attempt, which is counted at its runner already.
  bool body_released = false;   ///< No further attempt can be made.
  bool delivering = false;      ///< The answer, or a piece of it, is being sent to the caller.
  int64_t last_event_id = 0;    ///< Id of the last event that the caller has received.
  int stream_status = 0;        ///< Status of the caller's stream, once it has begun.
  std::string stream_media_type;
  /// Version of the runners' software that began the caller's stream; nothing before its first
  /// event.
  std::optional<std::string> stream_version;
  RolloutAttempt rollout;
  Duration time_to_first_byte{0};
  int failure_status = 0;  ///< Error response of the last runner that sent one; 0: none.
  HttpHeaders failure_headers;
  std::string failure_body;
  std::unique_ptr<MemoryBudget::Share> failure_memory;  ///< Memory of `failure_body`.

  bool repeatable() const { return route->Repeatable(); }
  /// Maximum number of tokens that the request occupies in an engine's memory.
  int64_t tokens() const { return caller.prompt_tokens + caller.output_tokens; }
  /// The team's priority takes precedence over the route's.
  int64_t priority() const { return team && team->priority ? *team->priority : route->priority; }
  /// Ids of the parts of the prompt that other requests may have in common: all but the last.
  std::vector<std::string> SharedParts() const;
  bool is_stream() const { return route->kind == RouteKind::kStream; }
  /// Whether the caller has events of the stream already, from an earlier attempt.
  bool resumes_stream() const {
    return is_stream() && (caller.resume_after > 0 || !caller.first_attempt.empty());
  }
};

/// Counts and logs a request that has ended. `outcome` is "delivered", "refused", "runner_failed",
/// "cut" or "caller_gone"; `status` is 0 if the caller got none.
void RecordRequestEnd(Metrics& metrics, const ForwardedRequest& request, const std::string& outcome,
                      int status);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FORWARDED_REQUEST_H_
