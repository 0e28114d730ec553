#include "core/request_limits.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <deque>

#include "core/placement.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

const TimePoint kStart = TimePoint(Seconds(100));

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) names.push_back(absl::StrCat("gateway", i));
  return names;
}

}  // namespace

TEST_GROUP(RunnerRequestLimits){};

// Guards against gateways that exceed a limit together, though each of them keeps its part.
TEST(RunnerRequestLimits, AllGatewaysTogetherKeepALimit) {
  CheckProperty("in any 4 s, sends <= one and a half times the limit, and one", [] {
    const auto gateways = Names(*rc::gen::inRange(1, 60));
    const double per_second = *rc::gen::inRange(1, 400) / 10.0;
    std::vector<RequestLimits> limits(gateways.size());
    for (RequestLimits& limit : limits) limit.Update("runner", {per_second, kStart});
    std::deque<TimePoint> sent;  // In the last 4 s.
    int total = 0;
    for (TimePoint now = kStart; now < kStart + Seconds(20); now += Millis(20)) {
      while (!sent.empty() && now - sent.front() >= Seconds(4)) sent.pop_front();
      for (size_t i = 0; i < gateways.size(); ++i) {
        while (limits[i].WaitTime("runner", gateways[i], gateways, now) == Duration{0}) {
          limits[i].OnSent("runner", now);
          sent.push_back(now);
          ++total;
        }
      }
      RC_ASSERT(static_cast<double>(sent.size()) <= 1.5 * per_second * 4 + 1);
    }
    RC_ASSERT(total > 0);
  });
}

// Guards against a limit that starves a runner: callers come at all gateways and could be served.
TEST(RunnerRequestLimits, MostOfALimitIsUsed) {
  const auto gateways = Names(10);
  std::vector<RequestLimits> limits(gateways.size());
  for (RequestLimits& limit : limits) limit.Update("runner", {3.4, kStart});
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + Seconds(20); now += Millis(20)) {
    for (size_t i = 0; i < gateways.size(); ++i) {
      if (limits[i].WaitTime("runner", gateways[i], gateways, now) > Duration{0}) continue;
      limits[i].OnSent("runner", now);
      ++sent;
    }
  }
  CHECK(sent >= 3 * 20 && sent <= 4 * 20);
}

// Guards against a gateway that does not know the others and takes a whole limit for itself.
TEST(RunnerRequestLimits, AGatewayAloneInItsListSendsNothing) {
  RequestLimits limits;
  limits.Update("runner", {50.0, kStart});
  CHECK(limits.WaitTime("runner", "gateway0", {}, kStart) > Duration{0});
}

// Guards against limits that are too large or too small to be divided.
TEST(RunnerRequestLimits, ExtremeLimitsAreKept) {
  const auto gateways = Names(3);
  for (const double none : {0.0, 1e-300}) {
    RequestLimits limits;
    limits.Update("runner", {none, kStart});
    CHECK(limits.WaitTime("runner", "gateway0", gateways, kStart) > Duration{0});
  }
  RequestLimits limits;
  limits.Update("runner", {1e300, kStart});
  for (int i = 0; i < 10'000; ++i) {
    CHECK(limits.WaitTime("runner", "gateway0", gateways, kStart) == Duration{0});
    limits.OnSent("runner", kStart);
  }
}

// Guards against a limit that is lifted by an older statement, or never lifted.
TEST(RunnerRequestLimits, TheNewestStatementHolds) {
  RequestLimits limits;
  CHECK_FALSE(limits.Update("runner", {std::nullopt, kStart}));
  CHECK(limits.Update("runner", {2.0, kStart}));
  CHECK_FALSE(limits.Update("runner", {std::nullopt, kStart - Millis(1)}));
  CHECK_FALSE(limits.Update("runner", {2.0, kStart + Millis(1)}));
  CHECK_FALSE(limits.Update("runner", {1.0, kStart + Millis(2)}));
  DOUBLES_EQUAL(1.0, *limits.PerSecond("runner"), 0);
  CHECK(limits.Update("runner", {std::nullopt, kStart + Millis(3)}));
  CHECK(limits.WaitTime("runner", "gateway0", Names(1), kStart + Millis(3)) == Duration{0});
}

// Guards against a gateway without a share that holds a limit for ever, since it sends nothing and
// the message that the limit has ended was lost.
TEST(RunnerRequestLimits, ALimitThatNobodyTellsOfIsCheckedByOneRequest) {
  RequestLimits limits;
  limits.Update("runner", {0.0, kStart});
  const auto gateways = Names(3);
  CHECK(limits.WaitTime("runner", "gateway0", gateways, kStart + Seconds(20)) > Duration{0});
  const TimePoint later = kStart + Seconds(40);
  CHECK(limits.WaitTime("runner", "gateway0", gateways, later) == Duration{0});
  limits.OnSent("runner", later);
  CHECK(limits.WaitTime("runner", "gateway0", gateways, later) > Duration{0});
}

// Guards against a message to all gateways for each answer of a limited runner.
TEST(RunnerRequestLimits, OneGatewayRemindsTheOthers) {
  RequestLimits limits;
  CHECK_FALSE(limits.ReminderDue("runner", kStart));
  limits.Update("runner", {2.0, kStart});
  CHECK(limits.ReminderDue("runner", kStart));
  CHECK_FALSE(limits.ReminderDue("runner", kStart + Millis(900)));
  limits.OnReminder("runner", kStart + Millis(950));
  CHECK_FALSE(limits.ReminderDue("runner", kStart + Millis(1'900)));
  CHECK(limits.ReminderDue("runner", kStart + Millis(2'000)));
}

// Guards against a limit that is lost when the runner's record lapses with the store, and against
// one that outlives a restart.
TEST(RunnerRequestLimits, ALimitSurvivesTheRecordAndEndsWithARestart) {
  RunnerRegistry registry;
  RunnerRecord record;
  record.id = "runner";
  record.service = "llm";
  record.slots = 8;
  record.started_ms = 1'000;
  registry.Upsert(record, kStart);
  registry.request_limits().Update("runner", {0.0, kStart});
  registry.Remove("runner", /*retain=*/false, kStart);
  registry.Upsert(record, kStart + Seconds(1));
  const auto gateways = Names(2);
  PlacementQuery query;
  query.service = "llm";
  query.self = "gateway0";
  query.gateways = &gateways;
  const Placement refused = PlaceRequest(query, registry, kStart + Seconds(1));
  STRCMP_EQUAL("", refused.runner.c_str());
  CHECK(refused.refusal == PlacementRefusal::kLimited);
  CHECK(refused.retry_after > Duration{0});
  record.started_ms = 2'000;
  record.sequence = 1;
  registry.Upsert(record, kStart + Seconds(2));
  STRCMP_EQUAL("runner", PlaceRequest(query, registry, kStart + Seconds(2)).runner.c_str());
}

}  // namespace fuchsiaweir
