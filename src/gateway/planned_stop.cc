#include "gateway/planned_stop.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Window over which the longest request of a service is remembered.
constexpr Duration kDurationWindow = Seconds(20);
/// A stopping gateway gets no new connections, so a refused caller reaches another one at once.
constexpr Duration kDrainRetryAfter = Millis(50);

}  // namespace

// Load pattern: a planned stop beside slow uploads and open connections. A request that arrives
// late would be cut at the end of the stop, perhaps after it has run; here it costs its caller a
// moment.
std::optional<Refusal> PlannedStop::RefuseLate(const ForwardedRequest& request) const {
  if (!end_) return std::nullopt;
  const TimePoint now = SteadyNow();
  const auto known = durations_.find(request.service);
  const Duration longest = known == durations_.end() ? Duration{0} : known->second.Longest(now);
  const Duration expected = std::max(longest, request.route->objective);
  if (now + expected < *end_ || request.deadline < *end_) return std::nullopt;
  return Refusal{503, ErrorCode::kOutOfService, RunState::kNotRun,
                 "the gateway stops before the request can end", kDrainRetryAfter};
}

void PlannedStop::OnRequestEnd(const ForwardedRequest& request, TimePoint now) {
  if (request.runs == 0) return;
  durations_.try_emplace(request.service, kDurationWindow)
      .first->second.Add(now - request.arrived_at, now);
}

}  // namespace fuchsiaweir
