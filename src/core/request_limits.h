#ifndef FUCHSIAWEIR_CORE_REQUEST_LIMITS_H_
#define FUCHSIAWEIR_CORE_REQUEST_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/request_share.h"

namespace fuchsiaweir {

/// What a runner says of the requests that it takes.
struct RequestLimit {
  /// Requests per second from all gateways together; nothing if the runner takes any number.
  std::optional<double> per_second;
  TimePoint as_of;  ///< When the runner said so.
};

/// The limits that runners have named, by runner.
///
/// Load pattern: a runner in need takes less than the gateways send it. Each of them hears of it at
/// another time, and some have not sent to it for a while.
///
/// The gateways divide each limit among all that are registered, without communication, so that it
/// also holds while some do not hear the others. They tell each other what runners say.
class RequestLimits {
 public:
  /// Records what a runner said. Returns whether a limit begins or ends with it; a statement from
  /// before the known one is ignored.
  bool Update(const std::string& runner, const RequestLimit& limit);
  /// Returns whether this gateway should tell the others of the limit again. It should not if one
  /// of them has told it just before.
  bool ReminderDue(const std::string& runner, TimePoint now);
  /// Records that another gateway has told of the runner's limit.
  void OnReminder(const std::string& runner, TimePoint now);

  /// Returns how long the gateway `self` has to wait until it may send the runner a request; zero
  /// if it may now. For a gateway without a share that is the time after which others may again.
  /// `gateways` holds the names of all gateways; if it is empty the own share is unknown.
  Duration WaitTime(const std::string& runner, const std::string& self,
                    const std::vector<std::string>& gateways, TimePoint now);
  /// Counts a request to the runner.
  void OnSent(const std::string& runner, TimePoint now);

  /// Forgets the limit of a runner that has restarted.
  void Forget(const std::string& runner) { limits_.erase(runner); }
  /// Forgets limits of which nothing was heard for long.
  void Expire(TimePoint now);

  /// Returns the runner's limit in requests per second, or nothing if it has none.
  std::optional<double> PerSecond(const std::string& runner) const;
  /// Number of runners with a limit.
  size_t size() const { return limits_.size(); }

 private:
  struct Entry {
    RequestLimit limit;
    TimePoint told_at;  ///< When a gateway last told the others of it.
    RequestWindow sent;
    TimePoint last_sent;
  };

  std::map<std::string, Entry> limits_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REQUEST_LIMITS_H_
