#ifndef FUCHSIAWEIR_CORE_RUNNER_NOTICES_H_
#define FUCHSIAWEIR_CORE_RUNNER_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/request_share.h"

namespace fuchsiaweir {

/// What a runner says of the number of requests that it takes.
struct RequestLimit {
  /// Requests per second from all gateways together; nothing if the runner takes any number.
  std::optional<double> per_second;
  TimePoint as_of;  ///< When the runner said so.
};

/// What runners have said of the requests that they take, by runner: a limit, a pause in which they
/// want none, or that they leave. It survives the removal of a runner's record and ends with the
/// start of the runner that said it.
///
/// Load pattern of limits: a runner in need takes less than the gateways send it. Each of them
/// hears of it at another time, and some have not sent to it for a while. The gateways divide each
/// limit among all that are registered, without communication, so that it also holds while some do
/// not hear the others. They tell each other of limits.
///
/// Load pattern of pauses and departures: the list of runners lags, or cannot be read, while the
/// runner's own responses already tell. Each gateway heeds what it was told itself.
class RunnerNotices {
 public:
  /// Records that the runner takes no requests until `until`, said by its start at `started_ms`
  /// (Unix time). A pause is only ever extended. Returns whether the runner was not paused before.
  bool Pause(const std::string& runner, int64_t started_ms, TimePoint until, TimePoint now);
  /// Returns the remaining time of the runner's pause; zero if it has none.
  Duration PauseLeft(const std::string& runner, TimePoint now) const;
  /// Records that the runner's start at `started_ms` leaves and gets no new requests. Returns
  /// whether that was not known.
  bool MarkLeaving(const std::string& runner, int64_t started_ms, TimePoint now);
  bool Leaving(const std::string& runner) const;

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

  /// Forgets what the runner said before it restarted at `started_ms`.
  void OnRestart(const std::string& runner, int64_t started_ms);
  /// Forgets what an earlier start of the runner said, now that its record is listed again. What
  /// was said by a start that is not known is kept.
  void OnListed(const std::string& runner, int64_t started_ms);
  /// Forgets runners of which nothing was heard for long.
  void Expire(TimePoint now);

  /// Returns the runner's limit in requests per second, or nothing if it has none.
  std::optional<double> PerSecond(const std::string& runner) const;
  /// Number of runners with a limit.
  int64_t limited() const;

 private:
  struct Limit {
    RequestLimit named;
    TimePoint told_at;  ///< When a gateway last told the others of it.
    RequestWindow sent;
    TimePoint last_sent;
  };
  struct Entry {
    int64_t started_ms = 0;  ///< Start of the runner that spoke, Unix time; 0: not known.
    std::optional<Limit> limit;
    TimePoint paused_until;
    bool leaving = false;
    TimePoint heard_at;  ///< When the runner last said any of this.
  };

  /// Returns the runner's entry for the start at `started_ms`, without what an earlier start said.
  Entry& EntryOf(const std::string& runner, int64_t started_ms, TimePoint now);
  Limit* FindLimit(const std::string& runner);
  const Limit* FindLimit(const std::string& runner) const;

  std::map<std::string, Entry> entries_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_NOTICES_H_
