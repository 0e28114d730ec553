#ifndef FUCHSIAWEIR_CORE_RUNNER_REGISTRY_H_
#define FUCHSIAWEIR_CORE_RUNNER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/request_share.h"
#include "core/runner_notices.h"
#include "core/runner_record.h"
#include "core/work_estimate.h"

namespace fuchsiaweir {

/// Outcome of a request at a runner, as evidence of the runner's health.
enum class AttemptOutcome {
  kServed,
  kOwnFailure,    ///< The runner sent an error response.
  kFull,          ///< The runner refused the request as not run.
  kMoved,         ///< Another runner has the address, or the weights differ from the record.
  kUnreachable,   ///< No open port, or no address.
  kNoConnection,  ///< No answer to the attempt to connect.
  kBroken,        ///< The connection was closed early, or the answer was malformed.
  kSilent,        ///< No data within the timeout.
};

/// Returns the outcome's name in logs and metrics.
std::string_view Name(AttemptOutcome outcome);

/// A gateway's view of one runner.
struct RunnerState {
  RunnerRecord record;
  int64_t started_ms = 0;  ///< Latest start time in a record or report.
  TimePoint listed_at;     ///< Arrival of the last record.
  std::optional<EngineReport> report;
  TimePoint reported_at;
  TimePoint report_failed_at;       ///< Last message that the runner does not answer its sidecar.
  Duration unheard{0};              ///< Time since its last sign in which other runners were heard.
  int64_t in_flight = 0;            ///< This gateway's requests at the runner.
  int64_t sent_since_report = 0;    ///< Requests placed since the last report.
  int64_t tokens_since_report = 0;  ///< Their prompt and output tokens.
  int64_t consecutive_failures = 0;
  double failure_rate = 0;  ///< Decaying failure rate of this gateway's requests.
  TimePoint failure_rate_at;
  TimePoint avoid_until;  ///< End of the avoidance after unanswered requests.
  bool absent = false;    ///< The last attempt found no open port, or another runner there.
  TimePoint cold_until;
  RequestWindow cold_requests;
  std::optional<TimePoint> missing_since;  ///< Set while the runner is retained but not listed.

  bool replaced = false;  ///< A runner that started later has the address.

  bool Cold(TimePoint now) const { return now < cold_until; }
  bool Avoided(TimePoint now) const { return now < avoid_until; }
  /// Failure rate of recent requests, decayed to `now`.
  double FailureRate(TimePoint now) const;
  /// Requests at the runner from all gateways; estimated from this gateway's without a fresh
  /// report.
  double Load(TimePoint now, int64_t gateways) const;
  bool ReportFresh(TimePoint now) const;
  /// Whether the runner currently does not answer its sidecar.
  bool ReportFailed(TimePoint now) const;
  /// Whether a runner that has reported is no longer heard, while others are: its host may stand
  /// still.
  bool Silent() const;
  /// Whether the runner is to be asked for its report, since its sidecar is not heard.
  bool ReportOverdue() const;
  /// Whether there are signs that the runner does not answer.
  bool Suspected(TimePoint now) const { return Avoided(now) || ReportFailed(now) || Silent(); }
};

/// The known runners by id, with their state from records, load reports and request outcomes.
class RunnerRegistry {
 public:
  /// Adds or updates a runner. A record of an earlier start, or an earlier one of this start, is
  /// ignored.
  void Upsert(const RunnerRecord& record, TimePoint now);

  /// Removes a runner that is no longer listed. With `retain` it stays usable for a grace period,
  /// because records that expired while the list was unavailable are published again.
  void Remove(const std::string& id, bool retain, TimePoint now);
  /// Whether the record is not newer than that of a runner that was removed.
  bool Departed(const RunnerRecord& record) const;
  /// Removes retained runners whose grace period has ended and returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  /// Applies a report of the runner at this address; nothing means that the runner did not answer.
  /// `cold_time` is how long the runner is cold if the report shows a new start.
  void OnReport(const std::string& address, uint16_t port,
                const std::optional<EngineReport>& report, Duration cold_time, TimePoint now);

  /// Records that bytes of the runner's answer arrived.
  void OnHeard(const std::string& id);

  /// Counts a request from its placement on, before it is sent, so that concurrent placements take
  /// it into account.
  void OnPlaced(const std::string& id, int64_t tokens, TimePoint now);
  /// Ends a request that `OnPlaced` counted.
  void OnRequestEnd(const std::string& id);
  /// Updates the runner's health. `cold_time` is how long it is cold if it may have restarted.
  void OnAttemptOutcome(const std::string& id, AttemptOutcome outcome, Duration cold_time,
                        TimePoint now);

  RunnerState* Find(const std::string& id);
  /// What the runners have said of the requests that they take.
  RunnerNotices& notices() { return notices_; }
  const RunnerNotices& notices() const { return notices_; }
  /// What was observed of the work that requests cause.
  WorkEstimates& work() { return work_; }
  const WorkEstimates& work() const { return work_; }
  std::map<std::string, RunnerState>& runners() { return runners_; }
  const std::map<std::string, RunnerState>& runners() const { return runners_; }

 private:
  /// Marks all runners at the address as replaced, except the one that started last.
  void MarkReplaced(const std::string& address, uint16_t port);

  struct Departure {
    int64_t started_ms = 0;
    int64_t sequence = 0;
    TimePoint at;
  };

  /// Removes a runner and returns the next one.
  std::map<std::string, RunnerState>::iterator Erase(
      std::map<std::string, RunnerState>::iterator runner, TimePoint now);

  std::map<std::string, RunnerState> runners_;
  std::map<std::string, Departure> departed_;
  TimePoint last_report_at_;  ///< Of any runner.
  RunnerNotices notices_;
  WorkEstimates work_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_REGISTRY_H_
