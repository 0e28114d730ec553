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

}  // namespace fuchsiaweir::soak
