#include "soak/verdict.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace fuchsiaweir::soak {
namespace {

constexpr Duration kRecordResolution = Millis(1);
constexpr Duration kLongestRest = Seconds(3);  ///< After SIGTERM, for requests that may run on.

std::string GatewayName(const Attempt& attempt) { return absl::StrCat("gateway", attempt.gateway); }

double SecondsBetween(TimePoint from, TimePoint to) { return ToSeconds(to - from); }

/// Judges one request that has no complete answer.
class LostRequest {
 public:
  LostRequest(const Record& record, const Attempt& attempt)
      : record_(record), attempt_(attempt), gateway_(GatewayName(attempt)) {
    const auto found = record.runs.find(attempt.id);
    if (found == record.runs.end()) return;
    // A runner that was held may begin a run that the gateway has left for another one, so that the
    // run in force is the one that ended last.
    for (const RunRecord& run : found->second) {
      if (run.begin > attempt.end) continue;
      if (last_run_ == nullptr || EndOf(run) >= EndOf(*last_run_)) last_run_ = &run;
    }
  }

  bool ran() const { return last_run_ != nullptr; }

  /// Returns why the rules allow that the request has no answer, or an empty text.
  std::string Excuse() const {
    if (attempt_.left) return "caller_left";
    if (!attempt_.written) return "not_sent_whole";
    if (GatewayWasDisturbed()) return "gateway_killed_or_stalled";
    if (ran() && last_run_->end == TimePoint::max()) return "runner_ended";
    if (ran() && last_run_->outcome == "broken") return "runner_broke_off";
    if (ran() && RunWasReset()) return "connection_reset";
    if (attempt_.end - attempt_.begin >= kTimeLimit) return "time_limit";
    if (RanIntoTheEndOfTheStop()) return "end_of_stop";
    if (ran()) return "";
    if (attempt_.end - attempt_.sent <= kSlack) return "crossed_the_close";
    if (!InPlannedWork()) return "no_planned_work";
    if (InFault()) return "fault_beside_planned_work";
    return "";
  }

  /// Whether the gateway ended a run in which the runner was at work, before the time limit and
  /// while the caller waited. The rules allow this; it costs callers their answers.
  bool WasGivenUp() const {
    if (attempt_.left || GatewayWasDisturbed() || !ran()) return false;
    const std::vector<RunRecord>& runs = record_.runs.at(attempt_.id);
    return std::any_of(runs.begin(), runs.end(), [&](const RunRecord& run) {
      return run.outcome == "left" && run.end < attempt_.begin + kTimeLimit - kSlack;
    });
  }

  std::string Describe() const {
    std::string text = absl::StrFormat(
        "%s at %s, request %d of its connection: %s after %.3f s, last event %d, status %d",
        attempt_.route->name, gateway_, attempt_.place + 1,
        attempt_.complete ? "answered" : attempt_.error,
        SecondsBetween(attempt_.sent, attempt_.end), attempt_.last_event, attempt_.status);
    if (!ran()) return absl::StrCat(text, "; no runner began it");
    const auto found = record_.runs.find(attempt_.id);
    for (const RunRecord& run : found->second) {
      absl::StrAppend(&text, "; ", run.runner, " began after ",
                      absl::StrFormat("%.3f", SecondsBetween(attempt_.begin, run.begin)));
      if (run.end == TimePoint::max()) continue;
      absl::StrAppend(&text, " and ended after ",
                      absl::StrFormat("%.3f", SecondsBetween(attempt_.begin, run.end)), " (",
                      run.outcome, ")");
    }
    for (const Disturbance& other : record_.disturbances) {
      if (other.process != gateway_ || other.cause != Cause::kStop) continue;
      if (other.begin > attempt_.end || attempt_.end - other.begin > 2 * kGrace) continue;
      absl::StrAppend(&text, absl::StrFormat("; SIGTERM %.3f s before the request was sent",
                                             SecondsBetween(other.begin, attempt_.sent)));
    }
    return text;
  }

 private:
  /// Returns when a run ended; for a runner that did not survive it, when that was killed.
  TimePoint EndOf(const RunRecord& run) const {
    TimePoint end = run.end;
    if (end != TimePoint::max()) return end;
    for (const Disturbance& other : record_.disturbances) {
      if (other.cause != Cause::kFault || other.process != run.runner) continue;
      if (other.begin >= run.begin) end = std::min(end, other.begin);
    }
    return end;
  }

  template <typename Condition>
  bool AnyDisturbance(Condition condition) const {
    return std::any_of(record_.disturbances.begin(), record_.disturbances.end(), condition);
  }

  bool GatewayWasDisturbed() const {
    const TimePoint since = std::min(attempt_.sent, attempt_.end - kContact);
    return AnyDisturbance([&](const Disturbance& other) {
      return other.cause == Cause::kFault && other.process == gateway_ &&
             other.begin <= attempt_.end && other.end >= since;
    });
  }

  bool RunWasReset() const {
    return AnyDisturbance([&](const Disturbance& other) {
      return other.cause == Cause::kReset && other.process == last_run_->runner &&
             other.begin >= last_run_->begin - kRecordResolution && other.begin <= attempt_.end;
    });
  }

  bool RanIntoTheEndOfTheStop() const {
    return AnyDisturbance([&](const Disturbance& other) {
      return other.cause == Cause::kStop && other.process == gateway_ && ran() &&
             attempt_.sent <= other.begin + kLongestRest &&
             attempt_.end >= other.begin + kGrace * 5 / 6 && last_run_->outcome != "complete" &&
             attempt_.end <= other.begin + kGrace + kSlack;
    });
  }

  bool InPlannedWork() const {
    return AnyDisturbance([&](const Disturbance& other) {
      const TimePoint end = attempt_.end;
      if (other.begin > end) return false;
      switch (other.cause) {
        case Cause::kStop:
          return other.process == gateway_ && end <= other.begin + kGrace + Seconds(1);
        case Cause::kReload:
          return other.process == gateway_ && attempt_.sent <= other.begin + kConfigBound;
        case Cause::kDesiredState:
          return end <= other.end + kConfigBound + Seconds(1) &&
                 end - attempt_.begin < kTimeLimit * 7 / 10;
        case Cause::kReset:
        case Cause::kStart:
        case Cause::kFault:
          return false;
      }
      return false;
    });
  }

  bool InFault() const {
    return AnyDisturbance([&](const Disturbance& other) {
      return other.cause == Cause::kFault && other.begin <= attempt_.end &&
             other.end >= attempt_.begin - kContact;
    });
  }

  const Record& record_;
  const Attempt& attempt_;
  std::string gateway_;
  const RunRecord* last_run_ = nullptr;
};

/// Whether a gateway must act on a change of the store throughout a time: the store was stable when
/// the change was written and until it had to be in force, and the gateway is undisturbed. A
/// gateway that was disturbed, and a fault of the store, after the change excuse each other,
/// because the gateway may have read an older copy of the store's contents.
bool MustKnow(const Record& record, const std::string& gateway, TimePoint sent, TimePoint confirmed,
              TimePoint begin, TimePoint end) {
  if (confirmed == TimePoint::max() || begin < confirmed + kConfigBound) return false;
  bool store_disturbed = false;
  bool gateway_disturbed = false;
  for (const Disturbance& other : record.disturbances) {
    if (other.cause == Cause::kDesiredState) continue;
    if (other.begin > end || other.end < sent - kContact) continue;
    if (other.process == "store") {
      if (other.begin <= confirmed + kConfigBound) return false;
      store_disturbed = true;
    } else if (other.process == gateway) {
      if (other.end >= begin - kContact) return false;
      gateway_disturbed = true;
    }
  }
  return !store_disturbed || !gateway_disturbed;
}

/// Whether a desired state that was sent after `state`, and before `end`, has fewer routes.
bool MayLackRoute(const Record& record, size_t state, TimePoint end) {
  return std::any_of(record.states.begin() + static_cast<std::ptrdiff_t>(state),
                     record.states.end(), [&](const StateRecord& later) {
                       return later.sent <= end &&
                              later.further_routes < record.states[state - 1].further_routes;
                     });
}

bool WasDisturbed(const Record& record, const std::string& runner, TimePoint at) {
  return std::any_of(record.disturbances.begin(), record.disturbances.end(),
                     [&](const Disturbance& other) {
                       return other.cause == Cause::kFault && other.process == runner &&
                              other.begin <= at && other.end >= at - kContact;
                     });
}

/// Whether the status promises that the request has not run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void ParseRuns(const std::string& runner, const std::string& log, Record& record) {
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("run ")) continue;
    std::istringstream words(line);
    std::string run;
    std::string step;
    std::string id;
    std::string outcome;
    int64_t at_ms = 0;
    words >> run >> step >> id >> at_ms >> outcome;
    std::vector<RunRecord>& runs = record.runs[id];
    if (step == "begin") {
      runs.push_back({runner, TimePoint(Millis(at_ms)), TimePoint::max(), ""});
      continue;
    }
    // The last begin belongs to it: a runner that was killed has logged no end of its runs.
    const auto begun = std::find_if(runs.rbegin(), runs.rend(), [&](const RunRecord& other) {
      return other.runner == runner && other.outcome.empty();
    });
    if (begun == runs.rend()) continue;
    begun->end = TimePoint(Millis(at_ms));
    begun->outcome = outcome;
  }
}

std::vector<Violation> JudgeRequests(const Record& record, std::map<std::string, int>& outcomes) {
  std::vector<Violation> violations;
  for (const Attempt& attempt : record.attempts) {
    const LostRequest request(record, attempt);
    const auto add = [&](const char* rule, std::string what) {
      violations.push_back({rule, absl::StrCat(what, "; ", request.Describe()), attempt.end,
                            attempt.id, GatewayName(attempt), ""});
    };
    const auto runs = record.runs.find(attempt.id);
    const size_t run_count = runs == record.runs.end() ? 0 : runs->second.size();
    if (!attempt.route->repeatable && run_count > 1) {
      add("TWICE", absl::StrCat("it ran ", run_count, " times"));
    }
    if (attempt.complete && !attempt.route->repeatable && run_count > 0 &&
        PromisesNotRun(attempt.status)) {
      add("REFUSED", "it was refused as not run and has run");
    }
    if (attempt.status != 200 && request.WasGivenUp()) ++outcomes["given_up_and_not_served"];
    if (!attempt.wrong.empty()) add(attempt.route->stream ? "ORDER" : "MIXED", attempt.wrong);
    if (attempt.complete) {
      ++outcomes[absl::StrCat(attempt.status)];
      continue;
    }
    const std::string excuse = request.Excuse();
    ++outcomes[excuse.empty() ? "lost" : excuse];
    if (excuse.empty()) {
      add("LOST", request.ran() ? "it ran and has no complete answer"
                                : "it was read and has no complete answer");
    }
  }
  return violations;
}

std::vector<Violation> JudgeChanges(const Record& record, std::map<std::string, int>& outcomes) {
  std::vector<Violation> violations;
  std::set<std::pair<std::string, size_t>> stale;
  std::set<std::pair<std::string, size_t>> sent_to_leaving;
  for (const Attempt& attempt : record.attempts) {
    const std::string gateway = GatewayName(attempt);
    const auto add = [&](const char* rule, std::string what, TimePoint confirmed, TimePoint at) {
      absl::StrAppend(&what, absl::StrFormat(" %.3f s after the change was confirmed",
                                             SecondsBetween(confirmed, at)));
      violations.push_back({rule, what, at, attempt.id, gateway, ""});
    };
    if (attempt.state > 0 && attempt.complete) {
      const auto number = static_cast<size_t>(attempt.state);
      const StateRecord& state = record.states.at(number - 1);
      const bool known =
          MustKnow(record, gateway, state.sent, state.confirmed, attempt.begin, attempt.end) &&
          !(attempt.new_route && MayLackRoute(record, number, attempt.end));
      if (known) ++outcomes["checked_for_new_state"];
      const bool refused = attempt.status == 401 || attempt.status == 404;
      if (known && refused && stale.emplace(gateway, number).second) {
        add("CONFIG",
            absl::StrCat("a request with what desired state ", number, " added was refused with ",
                         attempt.status),
            state.confirmed, attempt.begin);
      }
    }
    const auto runs = record.runs.find(attempt.id);
    if (runs == record.runs.end()) continue;
    for (size_t i = 0; i < record.drains.size(); ++i) {
      const DrainRecord& drain = record.drains[i];
      for (const RunRecord& run : runs->second) {
        // The gateway sends a request shortly before the runner begins it.
        if (run.begin <= drain.confirmed + kConfigBound + kSlack || run.begin >= drain.end ||
            !MustKnow(record, gateway, drain.sent, drain.confirmed, run.begin, run.begin)) {
          continue;
        }
        ++outcomes["checked_for_leaving_runner"];
        if (run.runner != drain.runner || WasDisturbed(record, run.runner, run.begin) ||
            !sent_to_leaving.emplace(gateway, i).second) {
          continue;
        }
        add("DRAIN", absl::StrCat(drain.runner, ", which leaves, began a new request"),
            drain.confirmed, run.begin);
      }
    }
  }
  return violations;
}

}  // namespace fuchsiaweir::soak
