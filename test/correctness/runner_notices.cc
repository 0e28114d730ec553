#include "core/runner_notices.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <deque>
#include <set>
#include <string>
#include <vector>

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
    std::vector<RunnerNotices> limits(gateways.size());
    for (RunnerNotices& limit : limits) limit.Update("runner", {per_second, kStart});
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
  std::vector<RunnerNotices> limits(gateways.size());
  for (RunnerNotices& limit : limits) limit.Update("runner", {3.4, kStart});
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
  RunnerNotices limits;
  limits.Update("runner", {50.0, kStart});
  CHECK(limits.WaitTime("runner", "gateway0", {}, kStart) > Duration{0});
}

// Guards against limits that are too large or too small to be divided.
TEST(RunnerRequestLimits, ExtremeLimitsAreKept) {
  const auto gateways = Names(3);
  for (const double none : {0.0, 1e-300}) {
    RunnerNotices limits;
    limits.Update("runner", {none, kStart});
    CHECK(limits.WaitTime("runner", "gateway0", gateways, kStart) > Duration{0});
  }
  RunnerNotices limits;
  limits.Update("runner", {1e300, kStart});
  for (int i = 0; i < 10'000; ++i) {
    CHECK(limits.WaitTime("runner", "gateway0", gateways, kStart) == Duration{0});
    limits.OnSent("runner", kStart);
  }
}

// Guards against a limit that is lifted by an older statement, or never lifted.
TEST(RunnerRequestLimits, TheNewestStatementHolds) {
  RunnerNotices limits;
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
  RunnerNotices limits;
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
  RunnerNotices limits;
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
  registry.notices().Update("runner", {0.0, kStart});
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

namespace {

/// Plain runners behind several gateways, in steps of a millisecond. A runner whose queue is full
/// refuses the request and asks the gateway that sent it for a pause.
class PausingRunners {
 public:
  static constexpr int kRunners = 3;
  static constexpr int kSlots = 6;
  static constexpr int kQueue = 4;
  static constexpr int kServiceMs = 30;
  static constexpr int kGateways = 4;
  static constexpr Duration kPause = Seconds(2);

  PausingRunners() : gateways_(Names(kGateways)), registries_(kGateways) {
    for (RunnerRegistry& registry : registries_) {
      for (int i = 0; i < kRunners; ++i) {
        RunnerRecord record;
        record.id = RunnerId(i);
        record.service = "booking";
        record.slots = kSlots;
        registry.Upsert(record, kStart);
      }
    }
  }

  static std::string RunnerId(int runner) { return absl::StrCat("runner", runner); }

  /// Lets the runner ask all gateways for a pause.
  void Pause(int runner) {
    for (RunnerRegistry& registry : registries_) {
      registry.notices().Pause(RunnerId(runner), 0, now_ + kPause, now_);
    }
  }

  /// Lets callers send `per_s` requests a second for `ms`.
  void Run(int ms, int per_s) {
    for (int end = ms; end > 0; --end) {
      now_ += Millis(1);
      for (int i = 0; i < kRunners; ++i) Serve(i);
      for (due_ += per_s; due_ >= 1'000; due_ -= 1'000) Arrive();
    }
  }

  int served = 0;
  int refused = 0;
  int pauses = 0;
  Duration first_retry_after{0};  ///< Of the last refusal.

 private:
  struct Work {
    int gateway = 0;
    TimePoint started;
  };

  void Serve(int runner) {
    std::deque<Work>& work = work_[runner];
    for (size_t i = 0; i < work.size() && i < kSlots;) {
      if (work[i].started == TimePoint{}) work[i].started = now_;
      if (now_ - work[i].started < Millis(kServiceMs)) {
        ++i;
        continue;
      }
      registries_[static_cast<size_t>(work[i].gateway)].OnRequestEnd(RunnerId(runner));
      work.erase(work.begin() + static_cast<int64_t>(i));
      ++served;
    }
  }

  void Arrive() {
    const int gateway = arrivals_++ % kGateways;
    RunnerRegistry& registry = registries_[static_cast<size_t>(gateway)];
    PlacementQuery query;
    query.service = "booking";
    query.self = gateways_[static_cast<size_t>(gateway)];
    query.gateways = &gateways_;
    query.random = static_cast<double>(arrivals_ * 7919 % 1'000) / 1'000;
    const Placement placement = PlaceRequest(query, registry, now_);
    if (placement.runner.empty()) {
      ++refused;
      first_retry_after = placement.retry_after;
      return;
    }
    registry.OnPlaced(placement.runner, 0, now_);
    std::deque<Work>& work = work_[placement.runner.back() - '0'];
    if (work.size() < kSlots + kQueue) {
      work.push_back({gateway, {}});
      return;
    }
    registry.OnRequestEnd(placement.runner);
    registry.notices().Pause(placement.runner, 0, now_ + kPause, now_);
    ++pauses;
  }

  std::vector<std::string> gateways_;
  std::vector<RunnerRegistry> registries_;
  std::deque<Work> work_[kRunners];
  TimePoint now_ = kStart;
  int due_ = 0;
  int arrivals_ = 0;
};

}  // namespace

TEST_GROUP(RunnerPauses){};

// Guards against a cascade: the requests of a paused runner push the next one into a pause, until
// none is left. Load: 520 requests a second for three runners that bear 200 each.
TEST(RunnerPauses, OnePauseDoesNotLeadToTheNext) {
  PausingRunners runners;
  runners.Run(1'000, 520);
  LONGS_EQUAL(0, runners.pauses);
  runners.Pause(0);
  runners.served = 0;
  runners.Run(1'900, 520);
  LONGS_EQUAL(0, runners.pauses);
  // Nine tenths of what two runners bear.
  CHECK_COMPARE(runners.served, >=, 9 * 2 * 200 * 19 / 100);
  CHECK(runners.refused > 0);
  CHECK(runners.first_retry_after > Duration{0} &&
        runners.first_retry_after <= PausingRunners::kPause);
}

// Guards against refusals while the other runners bear the load of the paused one.
TEST(RunnerPauses, NothingIsRefusedThatTheOthersBear) {
  PausingRunners runners;
  runners.Pause(0);
  runners.Run(1'900, 250);
  LONGS_EQUAL(0, runners.refused);
  LONGS_EQUAL(0, runners.pauses);
}

// Guards against a pause that a later answer shortens, that outlives its runner's start, or that
// is lost when the runner's record lapses with the store.
TEST(RunnerPauses, APauseHoldsForTheStartThatAskedForIt) {
  RunnerNotices notices;
  CHECK(notices.Pause("runner", 1'000, kStart + Seconds(5), kStart));
  CHECK_FALSE(notices.Pause("runner", 1'000, kStart + Seconds(1), kStart));
  CHECK(notices.PauseLeft("runner", kStart + Seconds(2)) == Seconds(3));
  notices.OnListed("runner", 1'000);
  CHECK(notices.PauseLeft("runner", kStart + Seconds(2)) == Seconds(3));
  CHECK(notices.PauseLeft("runner", kStart + Seconds(5)) == Duration{0});
  notices.OnListed("runner", 2'000);
  CHECK(notices.PauseLeft("runner", kStart + Seconds(2)) == Duration{0});
}

// Guards against Retry-After times that belong to a runner which has refused the request before
// and pauses longer than another one.
TEST(RunnerPauses, TheFirstEndIsTold) {
  RunnerRegistry registry;
  for (const char* id : {"runner0", "runner1"}) {
    RunnerRecord record;
    record.id = id;
    record.service = "booking";
    record.slots = 1;
    registry.Upsert(record, kStart);
  }
  registry.notices().Pause("runner0", 0, kStart + Seconds(8), kStart);
  registry.notices().Pause("runner1", 0, kStart + Seconds(5), kStart);
  const std::set<std::string> tried{"runner1"};
  PlacementQuery query;
  query.service = "booking";
  query.tried = &tried;
  const Placement placement = PlaceRequest(query, registry, kStart);
  CHECK(placement.refusal == PlacementRefusal::kPaused);
  CHECK(placement.retry_after == Seconds(5));
}

TEST_GROUP(RunnerDepartures){};

// Guards against a runner that is used again after it announced its departure, because its record
// was removed and listed again; and against a new start under the same id that gets nothing.
TEST(RunnerDepartures, ADepartureHoldsForTheStartThatAnnouncedIt) {
  RunnerRegistry registry;
  RunnerRecord record;
  record.id = "runner";
  record.service = "booking";
  record.slots = 1;
  record.started_ms = 1'000;
  registry.Upsert(record, kStart);
  CHECK(registry.notices().MarkLeaving("runner", 1'000, kStart));
  CHECK_FALSE(registry.notices().MarkLeaving("runner", 1'000, kStart));
  PlacementQuery query;
  query.service = "booking";
  CHECK(PlaceRequest(query, registry, kStart).refusal == PlacementRefusal::kLeaving);
  registry.Remove("runner", /*retain=*/false, kStart);
  registry.Upsert(record, kStart + Seconds(1));
  STRCMP_EQUAL("", PlaceRequest(query, registry, kStart + Seconds(1)).runner.c_str());
  record.started_ms = 2'000;
  registry.Upsert(record, kStart + Seconds(2));
  STRCMP_EQUAL("runner", PlaceRequest(query, registry, kStart + Seconds(2)).runner.c_str());
}

// Guards against a departure that is lost when the record of the start that announced it arrives
// after the announcement.
TEST(RunnerDepartures, ADepartureHeardBeforeTheRecordHolds) {
  RunnerNotices notices;
  notices.MarkLeaving("runner", 2'000, kStart);
  notices.OnRestart("runner", 2'000);
  notices.OnListed("runner", 1'000);
  CHECK(notices.Leaving("runner"));
  notices.OnRestart("runner", 3'000);
  CHECK_FALSE(notices.Leaving("runner"));
}

}  // namespace fuchsiaweir
