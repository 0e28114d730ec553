#ifndef FUCHSIAWEIR_CORE_RUNNER_REGISTRY_H_
#define FUCHSIAWEIR_CORE_RUNNER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/cold_share.h"
#include "core/runner_record.h"

namespace fuchsiaweir {

/// What a request showed about its runner.
enum class AttemptOutcome {
  kServed,
  kOwnFailure,   ///< The runner answered that it failed.
  kFull,         ///< The runner refused the request as not run.
  kMoved,        ///< Another runner has the address, or the weights differ.
  kUnreachable,  ///< No connection.
  kBroken,       ///< The connection ended, or bytes came that are no answer.
  kSilent,       ///< Nothing arrived in time.
};

/// Returns the sign's name in logs and metrics.
std::string_view Name(AttemptOutcome sign);

/// What a gateway believes about one runner, and since when.
struct RunnerState {
  RunnerRecord record;
  int64_t started_ms = 0;  ///< Latest start that a record or a report told of.
  TimePoint listed_at;     ///< When the last record arrived.
  std::optional<EngineReport> report;
  TimePoint reported_at;
  bool report_failed = false;  ///< The process beside the runner gets no answer from it.
  int64_t in_flight = 0;       ///< Own requests at the runner.
  int64_t sent_since_report = 0;
  int64_t tokens_since_report = 0;
  int64_t failures_in_row = 0;
  double failure_share = 0;  ///< Decaying share of own requests that failed.
  TimePoint failure_share_at;
  TimePoint avoid_until;  ///< No request before, as the last ones got no answer.
  TimePoint cold_until;
  ColdAllowance cold_sent;
  std::optional<TimePoint> missing_since;  ///< Not listed any more, see `RunnerRegistry::Remove`.

  bool replaced = false;  ///< A newer runner has the address.

  bool Cold(TimePoint now) const { return now < cold_until; }
  bool Avoided(TimePoint now) const { return now < avoid_until; }
  /// Share of recent requests that failed, decayed to `now`.
  double FailureShare(TimePoint now) const;
  /// Requests at the runner from all gateways; an estimate when its report is old.
  double Load(TimePoint now, int64_t gateways) const;
  bool ReportFresh(TimePoint now) const;
};

/// Runners by id, with what their records, reports and answers tell.
class RunnerRegistry {
 public:
  /// Adds or updates a runner. `cold_time` is how long a start keeps it cold.
  void Upsert(const RunnerRecord& record, TimePoint now);

  /// The runner is no longer listed. With `hold` it stays usable for a while, because entries that
  /// lapsed while the list was unavailable come back; `Expire` removes it then.
  void Remove(const std::string& id, bool hold, TimePoint now);
  /// Removes held runners whose time is over. Returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  /// Takes a report of the runner at this address.
  void OnReport(const std::string& address, uint16_t port,
                const std::optional<EngineReport>& report, Duration cold_time, TimePoint now);

  /// Counts a request from its placement on: requests that are placed in the same moment, before
  /// any of them is sent, must see each other.
  void OnPlaced(const std::string& id, int64_t tokens, TimePoint now);
  /// Ends a request that `OnPlaced` began.
  void OnRequestEnd(const std::string& id);
  /// Learns from a request. `cold_time` applies when the sign says that the runner was restarted.
  void OnAttemptOutcome(const std::string& id, AttemptOutcome sign, Duration cold_time,
                        TimePoint now);

  RunnerState* Find(const std::string& id);
  std::map<std::string, RunnerState>& runners() { return runners_; }
  const std::map<std::string, RunnerState>& runners() const { return runners_; }

 private:
  /// Finds out which runners at the address were replaced by newer ones.
  void MarkReplaced(const std::string& address, uint16_t port);

  std::map<std::string, RunnerState> runners_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_REGISTRY_H_
