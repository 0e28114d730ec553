#ifndef FUCHSIAWEIR_CORE_REQUEST_LIMITS_H_
#define FUCHSIAWEIR_CORE_REQUEST_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// What a runner says of the requests that it takes.
struct RequestLimit {
  /// Requests per second from all gateways together; nothing if the runner takes any number.
  std::optional<double> per_second;
  TimePoint as_of;  ///< When the runner said so.
};

/// The limits that runners have named, by runner.
class RequestLimits {
 public:
  /// Records what a runner said. Returns whether that differs from what was known; a statement
  /// from before the known one is ignored.
  bool Update(const std::string& runner, const RequestLimit& limit);
  /// Returns the runner's limit in requests per second, or nothing if it has none.
  std::optional<double> PerSecond(const std::string& runner) const;
  /// Number of runners with a limit.
  size_t size() const { return limits_.size(); }

 private:
  std::map<std::string, RequestLimit> limits_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REQUEST_LIMITS_H_
