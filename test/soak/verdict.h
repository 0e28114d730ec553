#ifndef FUCHSIAWEIR_TEST_SOAK_VERDICT_H_
#define FUCHSIAWEIR_TEST_SOAK_VERDICT_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "soak/caller.h"

namespace fuchsiaweir::soak {

/// Bounds of the users' rules.
constexpr Duration kContact = Seconds(3);      ///< Calm after which a process is judged again.
constexpr Duration kGrace = Seconds(8);        ///< From SIGTERM to the end of a process.
constexpr Duration kSlack = Millis(200);       ///< For requests that cross the end of a connection.
constexpr Duration kConfigBound = Seconds(2);  ///< Until a change is in force.
constexpr Duration kStartBound = Seconds(4);   ///< From the start until a process serves.
constexpr int64_t kGatewayMemoryMb = 96;
constexpr int64_t kSidecarMemoryMb = 192;

enum class Cause {
  kStop,          ///< SIGTERM; `begin` is its time.
  kReload,        ///< SIGHUP, or changed settings.
  kDesiredState,  ///< From its sending until the store has confirmed it.
  kReset,         ///< A reset of all connections to a runner; it also counts as a fault.
  kStart,         ///< A start of a gateway or sidecar that had ended.
  kFault,         ///< SIGKILL, SIGSTOP, or a fault of a runner or of the store.
};

/// What was done to a process, and when.
struct Disturbance {
  std::string process;
  Cause cause = Cause::kFault;
  TimePoint begin;
  TimePoint end;
};

/// A request's time at a runner, from the runner's log.
struct RunRecord {
  std::string runner;
  TimePoint begin;
  TimePoint end = TimePoint::max();  ///< `max`: the runner did not survive the run.
  std::string outcome;               ///< "complete", "left", "broken" or empty.
};

struct Violation {
  std::string rule;
  std::string what;
  TimePoint at;
  std::string id;  ///< Of the request; empty if none.
  std::string process;
  std::string log;  ///< Last lines of the process, if no request is concerned.
};

/// A desired state that the soak has written; its key is part of all later ones.
struct StateRecord {
  int further_routes = 0;
  TimePoint sent;
  TimePoint confirmed = TimePoint::max();  ///< `max`: it was not.
};

/// A time in which the store's entry of a runner said that it leaves.
struct DrainRecord {
  std::string runner;
  TimePoint sent;
  TimePoint confirmed;
  TimePoint end = TimePoint::max();  ///< Before another entry was sent, or the runner was started.
};

/// Everything that a soak has recorded.
struct Record {
  std::vector<Attempt> attempts;
  std::vector<Disturbance> disturbances;
  std::map<std::string, std::vector<RunRecord>> runs;  ///< By request, in the order of begin.
  std::vector<StateRecord> states;
  std::vector<DrainRecord> drains;
};

/// Adds the runs from the log of a runner.
void ParseRuns(const std::string& runner, const std::string& log, Record& record);

/// Checks all requests. Counts in `outcomes` how they ended, and why the rules allow those that
/// ended without an answer.
std::vector<Violation> JudgeRequests(const Record& record, std::map<std::string, int>& outcomes);

/// Checks that desired states are in force (CONFIG) and that runners which leave get no requests
/// (DRAIN). Returns at most one violation per change and gateway. Counts in `outcomes` the requests
/// that were checked for each.
std::vector<Violation> JudgeChanges(const Record& record, std::map<std::string, int>& outcomes);

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_VERDICT_H_
