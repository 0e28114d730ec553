// Tests of the rules by which the fault soak judges requests.

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "soak/verdict.h"

namespace fuchsiaweir::soak {

TEST_GROUP(SoakVerdict) {
  const TimePoint start{Seconds(1'000)};
  Route route{"unsafe", false, false};
  Record record;

  void setup() override {
    Attempt attempt;
    attempt.id = "c1-1";
    attempt.route = &route;
    attempt.begin = start;
    attempt.sent = start;
    attempt.end = start + Millis(900);
    attempt.written = true;
    attempt.error = "closed";
    record.attempts.push_back(attempt);
  }

  Attempt& attempt() { return record.attempts.front(); }

  void Run(const char* outcome) {
    record.runs["c1-1"] = {{"runner0", start + Millis(1), start + Millis(900), outcome}};
  }

  void Disturb(Cause cause, const char* process, Duration before) {
    record.disturbances.push_back({process, cause, start - before, start - before});
  }

  /// Returns the rules that are broken, each with a space after it.
  std::string Broken() {
    std::map<std::string, int> outcomes;
    std::string rules;
    for (const Violation& violation : JudgeRequests(record, outcomes))
      rules += violation.rule + " ";
    return rules;
  }
};

// Guards against a soak that passes over a request that ran and lost its answer.
TEST(SoakVerdict, ARequestThatRanAndHasNoAnswerIsLost) {
  Run("left");
  STRCMP_EQUAL("LOST ", Broken().c_str());
  Run("complete");
  STRCMP_EQUAL("LOST ", Broken().c_str());
}

// Guards against a soak that blames a gateway for what others did.
TEST(SoakVerdict, AGatewayIsNotBlamedForOthers) {
  Run("broken");
  STRCMP_EQUAL("", Broken().c_str());
  Run("left");
  attempt().left = true;
  STRCMP_EQUAL("", Broken().c_str());
  attempt().left = false;
  attempt().end = start + kTimeLimit;
  STRCMP_EQUAL("", Broken().c_str());
  attempt().end = start + Millis(900);
  Disturb(Cause::kReset, "runner0", Millis(1));
  STRCMP_EQUAL("LOST ", Broken().c_str());
  Disturb(Cause::kReset, "runner0", -Millis(1));
  STRCMP_EQUAL("", Broken().c_str());
  route.repeatable = true;
  const TimePoint late = start + Millis(500);
  record.runs["c1-1"].push_back({"runner1", late, late, "left"});
  STRCMP_EQUAL("", Broken().c_str());
  record.runs["c1-1"].pop_back();
  record.disturbances.clear();
  Disturb(Cause::kFault, "gateway1", Seconds(1));
  STRCMP_EQUAL("LOST ", Broken().c_str());
  Disturb(Cause::kFault, "gateway0", Seconds(1));
  STRCMP_EQUAL("", Broken().c_str());
}

// Guards against a soak that takes each end of a stop for the last sixth of the grace, or a request
// that came too late in it for one that may run on.
TEST(SoakVerdict, OnlyARequestSentEarlyMayRunIntoTheEndOfAStop) {
  Run("left");
  Disturb(Cause::kStop, "gateway0", Seconds(3));
  attempt().end = start - Seconds(3) + kGrace * 5 / 6;
  attempt().begin = attempt().end - Millis(2'900);
  STRCMP_EQUAL("", Broken().c_str());
  attempt().end -= Millis(1);
  STRCMP_EQUAL("LOST ", Broken().c_str());
  attempt().end += Millis(1);
  attempt().sent += Millis(1);
  STRCMP_EQUAL("LOST ", Broken().c_str());
}

// Guards against a soak that judges requests which were only read by the rule for those that ran.
TEST(SoakVerdict, ARequestThatWasReadIsLostAroundPlannedWorkAlone) {
  STRCMP_EQUAL("", Broken().c_str());
  Disturb(Cause::kStop, "gateway1", Seconds(1));
  STRCMP_EQUAL("", Broken().c_str());
  Disturb(Cause::kStop, "gateway0", Seconds(1));
  STRCMP_EQUAL("LOST ", Broken().c_str());
  attempt().end = start + kSlack;
  STRCMP_EQUAL("", Broken().c_str());
  attempt().end = start + Millis(900);
  Disturb(Cause::kFault, "runner0", kContact + Millis(1));
  STRCMP_EQUAL("LOST ", Broken().c_str());
  Disturb(Cause::kFault, "runner0", kContact);
  STRCMP_EQUAL("", Broken().c_str());
}

// Guards against refusals that promise what is not so, and second runs, that nobody sees.
TEST(SoakVerdict, APromiseAndASecondRunAreChecked) {
  Run("complete");
  attempt().complete = true;
  attempt().status = 503;
  STRCMP_EQUAL("REFUSED ", Broken().c_str());
  attempt().status = 200;
  STRCMP_EQUAL("", Broken().c_str());
  record.runs["c1-1"].push_back(record.runs["c1-1"].front());
  STRCMP_EQUAL("TWICE ", Broken().c_str());
}

TEST_GROUP(SoakVerdictOfChanges) {
  const TimePoint confirmed{Seconds(1'000)};
  const TimePoint sent = confirmed - Millis(10);
  const TimePoint bound = confirmed + kConfigBound;
  Route route{"safe", true, false};
  Record record;

  /// Adds a complete request to gateway0 with the key, or the route, of the first desired state.
  void Request(TimePoint at, int status, bool new_route = false) {
    Attempt attempt;
    attempt.id = "c1-1";
    attempt.route = &route;
    attempt.state = 1;
    attempt.new_route = new_route;
    attempt.begin = at;
    attempt.end = at + Millis(10);
    attempt.complete = true;
    attempt.status = status;
    record.attempts = {attempt};
  }

  void Disturb(const char* process, Cause cause, TimePoint at) {
    record.disturbances.push_back({process, cause, at, at});
  }

  void Run(TimePoint begin) {
    Request(begin, 200);
    record.runs["c1-1"] = {{"runner0", begin, begin + Millis(5), "complete"}};
  }

  std::string Broken() {
    std::map<std::string, int> outcomes;
    std::string rules;
    for (const Violation& violation : JudgeChanges(record, outcomes)) rules += violation.rule + " ";
    return rules;
  }
};

// Guards against a soak that passes over a desired state which is not in force, or that expects it
// before its bound.
TEST(SoakVerdictOfChanges, AConfirmedStateIsInForceAfterTheBound) {
  record.states.push_back({1, sent, confirmed});
  for (const int status : {401, 404}) {
    Request(bound, status);
    STRCMP_EQUAL("CONFIG ", Broken().c_str());
    Request(bound - Millis(1), status);
    STRCMP_EQUAL("", Broken().c_str());
  }
  for (const int status : {200, 429, 503}) {
    Request(bound, status);
    STRCMP_EQUAL("", Broken().c_str());
  }
  Request(bound, 401);
  record.attempts.push_back(record.attempts.front());
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
  record.states.front().confirmed = TimePoint::max();
  STRCMP_EQUAL("", Broken().c_str());
}

// Guards against a soak that blames a gateway for a route which a later state may have removed.
TEST(SoakVerdictOfChanges, ARouteMayBeRemovedByALaterState) {
  record.states.push_back({2, sent, confirmed});
  record.states.push_back({2, bound, TimePoint::max()});
  Request(bound, 404, /*new_route=*/true);
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
  record.states.back().further_routes = 1;
  STRCMP_EQUAL("", Broken().c_str());
  record.states.back().sent = bound + Millis(11);
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
  record.states.back().sent = bound;
  Request(bound, 401);
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
}

// Guards against a soak that excuses changes which were written to a stable store.
TEST(SoakVerdictOfChanges, OnlyAStoreThatWasNotStableExcuses) {
  record.states.push_back({1, sent, confirmed});
  Request(bound + Seconds(1), 401);
  Disturb("store", Cause::kFault, sent - kContact - Millis(1));
  Disturb("store", Cause::kDesiredState, sent);
  Disturb("store", Cause::kFault, bound + Millis(1));
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
  Disturb("store", Cause::kFault, sent - kContact);
  STRCMP_EQUAL("", Broken().c_str());
  record.disturbances.back().begin = record.disturbances.back().end = bound;
  STRCMP_EQUAL("", Broken().c_str());
}

// Guards against a soak that excuses a gateway which nothing has disturbed for the contact time, or
// that blames one which was, or which has started from the contents of a store that came back.
TEST(SoakVerdictOfChanges, OnlyADisturbedGatewayIsExcused) {
  record.states.push_back({1, sent, confirmed});
  const TimePoint at = bound + Seconds(2);
  Request(at, 401);
  Disturb("gateway1", Cause::kFault, at);
  Disturb("runner0", Cause::kFault, at);
  Disturb("gateway0", Cause::kFault, at - kContact - Millis(1));
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
  for (const Cause cause : {Cause::kStop, Cause::kReload, Cause::kStart, Cause::kFault}) {
    Disturb("gateway0", cause, at - kContact);
    STRCMP_EQUAL("", Broken().c_str());
    record.disturbances.pop_back();
  }
  STRCMP_EQUAL("CONFIG ", Broken().c_str());
  Disturb("store", Cause::kFault, at - Millis(1));
  STRCMP_EQUAL("", Broken().c_str());
}

// Guards against a soak that passes over requests to a runner that leaves, or that blames a gateway
// for those that were on their way or that the runner began late.
TEST(SoakVerdictOfChanges, ARunnerThatLeavesGetsNoRequestsAfterTheBound) {
  record.drains.push_back({"runner0", sent, confirmed, bound + Seconds(2)});
  record.states.push_back({0, sent, TimePoint::max()});
  Run(bound + kSlack);
  STRCMP_EQUAL("", Broken().c_str());
  Run(bound + Seconds(2));
  STRCMP_EQUAL("", Broken().c_str());
  Run(bound + kSlack + Millis(1));
  STRCMP_EQUAL("DRAIN ", Broken().c_str());
  // A restore after the bound does not make an undisturbed gateway forget the entry.
  Disturb("store", Cause::kFault, bound + Millis(1));
  STRCMP_EQUAL("DRAIN ", Broken().c_str());
  Disturb("runner0", Cause::kFault, bound);
  STRCMP_EQUAL("", Broken().c_str());
  record.disturbances.clear();
  Disturb("gateway0", Cause::kFault, bound);
  STRCMP_EQUAL("", Broken().c_str());
  record.disturbances.clear();
  record.drains.front().runner = "runner1";
  STRCMP_EQUAL("", Broken().c_str());
}

}  // namespace fuchsiaweir::soak
