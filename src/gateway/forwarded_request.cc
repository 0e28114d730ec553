#include "gateway/forwarded_request.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "core/millis_text.h"
#include "net/log.h"

namespace fuchsiaweir {

std::vector<std::string> ForwardedRequest::SharedParts() const {
  std::vector<std::string> ids;
  for (size_t i = 0; i + 1 < caller.parts.size(); ++i) ids.push_back(caller.parts[i].id);
  return ids;
}

void RecordRequestEnd(Metrics& metrics, const ForwardedRequest& request, const std::string& outcome,
                      int status) {
  const Duration duration = SteadyNow() - request.arrived_at;
  const std::string kind = !request.route ? "none" : std::string(Name(request.route->kind));
  metrics
      .Counter("fuchsiaweir_requests_total", "Requests of callers by kind, outcome and status.",
               {{"kind", kind}, {"outcome", outcome}, {"status", absl::StrCat(status)}})
      .Increment();
  if (outcome == "delivered") {
    metrics
        .Seconds("fuchsiaweir_first_byte_seconds", "Time to the answer's first byte.",
                 {{"kind", kind}})
        .Observe(ToSeconds(request.time_to_first_byte));
  }
  LogInfo("request_ended",
          {{"request", request.caller.id},
           {"route", !request.route ? "" : request.route->name},
           {"outcome", outcome},
           {"status", absl::StrCat(status)},
           {"took_ms", Ms(duration)},
           {"first_ms", Ms(request.time_to_first_byte)},
           {"objective_ms", Ms(!request.route ? Duration{0} : request.route->objective)},
           {"last_event", absl::StrCat(request.last_event_id)},
           {"attempts", absl::StrJoin(request.attempt_log, ",")}});
}

}  // namespace fuchsiaweir
