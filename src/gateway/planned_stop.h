#ifndef FUCHSIAWEIR_GATEWAY_PLANNED_STOP_H_
#define FUCHSIAWEIR_GATEWAY_PLANNED_STOP_H_

#include <map>
#include <optional>
#include <string>

#include "core/recent_maximum.h"
#include "gateway/forwarded_request.h"

namespace fuchsiaweir {

/// Decides which requests a process still takes once it has been told to stop.
class PlannedStop {
 public:
  /// From now on only requests that are expected to end before `end` are taken.
  void Begin(TimePoint end) { end_ = end; }
  /// Returns the refusal of a request that arrives too late.
  std::optional<Refusal> RefuseLate(const ForwardedRequest& request) const;
  /// Records how long a request took.
  void OnRequestEnd(const ForwardedRequest& request, TimePoint now);

 private:
  std::map<std::string, RecentMaximum> durations_;  ///< Of requests that ran, by service.
  std::optional<TimePoint> end_;                    ///< Set once the process stops.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PLANNED_STOP_H_
