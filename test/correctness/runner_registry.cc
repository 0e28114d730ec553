#include "core/runner_registry.h"

#include <CppUTest/TestHarness.h>

#include "core/placement.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};

RunnerRecord Record(const std::string& id, uint16_t port, int64_t started_ms = 1'000) {
  RunnerRecord record;
  record.id = id;
  record.service = "llm";
  record.address = "10.0.0.1";
  record.port = port;
  record.data_centre = "east";
  record.slots = 8;
  record.sequence = 1;
  record.started_ms = started_ms;
  record.weights_version = 1;
  return record;
}

PlacementQuery Query(const std::vector<std::string>& gateways) {
  PlacementQuery query;
  query.service = "llm";
  query.self = gateways.front();
  query.gateways = &gateways;
  return query;
}

}  // namespace

TEST_GROUP(RunnerRegistry) {
  std::vector<std::string> gateways{"gateway-1"};
  RunnerRegistry runner_registry;
};

// Guards against a runner that gets no requests for ever because its sidecar stopped after its last
// message, that the runner did not answer.
TEST(RunnerRegistry, AMessageOfAStoppedSidecarDoesNotHoldForEver) {
  runner_registry.Upsert(Record("a", 1), kStart);
  runner_registry.OnReport("10.0.0.1", 1, std::nullopt, Duration{0}, kStart);
  PlacementQuery query = Query(gateways);
  query.allow_suspected = false;
  STRCMP_EQUAL("", PlaceRequest(query, runner_registry, kStart).runner.c_str());
  STRCMP_EQUAL("a", PlaceRequest(query, runner_registry, kStart + Seconds(5)).runner.c_str());
}

// Guards against a service that refuses everything while all of its runners are slow at the same
// time, or the gateway could not read their answers for a moment.
TEST(RunnerRegistry, ASuspectedRunnerIsUsedIfThereIsNoOther) {
  for (const char* id : {"a", "b"}) {
    runner_registry.Upsert(Record(id, id[0]), kStart);
    for (int i = 0; i < 3; ++i) {
      runner_registry.OnAttemptOutcome(id, AttemptOutcome::kSilent, Duration{0}, kStart);
    }
  }
  CHECK(!PlaceRequest(Query(gateways), runner_registry, kStart).runner.empty());
  PlacementQuery strict = Query(gateways);
  strict.allow_suspected = false;
  STRCMP_EQUAL("", PlaceRequest(strict, runner_registry, kStart).runner.c_str());
  runner_registry.OnAttemptOutcome("a", AttemptOutcome::kServed, Duration{0}, kStart);
  runner_registry.Upsert(Record("c", 3), kStart);
  STRCMP_EQUAL("c", PlaceRequest(Query(gateways), runner_registry, kStart).runner.c_str());
}

// Guards against requests that wait for connections to runners that are known to be down.
TEST(RunnerRegistry, ARunnerWithoutAnOpenPortIsNotUsedForWantOfAnother) {
  runner_registry.Upsert(Record("a", 1), kStart);
  runner_registry.OnAttemptOutcome("a", AttemptOutcome::kUnreachable, Duration{0}, kStart);
  const Placement placement = PlaceRequest(Query(gateways), runner_registry, kStart);
  STRCMP_EQUAL("", placement.runner.c_str());
  CHECK(placement.refusal == PlacementRefusal::kUnreachable);
}

// Guards against a service that stays refused because its hosts did not answer for a moment.
TEST(RunnerRegistry, ARunnerThatDidNotAnswerAConnectionIsUsedIfThereIsNoOther) {
  runner_registry.Upsert(Record("a", 1), kStart);
  runner_registry.OnAttemptOutcome("a", AttemptOutcome::kNoConnection, Duration{0}, kStart);
  PlacementQuery query = Query(gateways);
  STRCMP_EQUAL("a", PlaceRequest(query, runner_registry, kStart).runner.c_str());
  query.allow_suspected = false;
  STRCMP_EQUAL("", PlaceRequest(query, runner_registry, kStart).runner.c_str());
}

// Guards against all requests of a dead service that wait for their deadline instead of a refusal.
TEST(RunnerRegistry, ASuspectedRunnerGetsNoMoreRequestsThanItRunsAtOnce) {
  runner_registry.Upsert(Record("a", 1), kStart);
  for (int i = 0; i < 2; ++i) {
    runner_registry.OnAttemptOutcome("a", AttemptOutcome::kSilent, Duration{0}, kStart);
  }
  int placed = 0;
  while (placed < 20 && !PlaceRequest(Query(gateways), runner_registry, kStart).runner.empty()) {
    runner_registry.OnPlaced("a", 0, kStart);
    ++placed;
  }
  LONGS_EQUAL(8, placed);
}

// Guards against requests to a runner whose address now belongs to a newer one. After a power loss
// of all hosts, the records of the former runners stay in the list for seconds; each request routed
// by them is refused and retried, which exceeds the retry budget.
TEST(RunnerRegistry, ANewerRunnerAtTheSameAddressReplacesTheFormer) {
  runner_registry.Upsert(Record("old", 1, 1'000), kStart);
  runner_registry.Upsert(Record("new", 1, 2'000), kStart);
  for (int i = 0; i < 20; ++i) {
    PlacementQuery query = Query(gateways);
    query.random = i / 20.0;
    STRCMP_EQUAL("new", PlaceRequest(query, runner_registry, kStart).runner.c_str());
  }
  // The order in which the records arrive does not matter.
  runner_registry.Upsert(Record("old", 1, 1'000), kStart + Millis(10));
  STRCMP_EQUAL("new",
               PlaceRequest(Query(gateways), runner_registry, kStart + Millis(10)).runner.c_str());
  runner_registry.Remove("new", false, kStart + Millis(20));
  STRCMP_EQUAL("old",
               PlaceRequest(Query(gateways), runner_registry, kStart + Millis(20)).runner.c_str());
}

// Guards against repeated requests to a runner whose address answered with another runner's id.
TEST(RunnerRegistry, ARunnerWithAnotherIdAtItsAddressIsAvoided) {
  runner_registry.Upsert(Record("gone", 1), kStart);
  runner_registry.OnAttemptOutcome("gone", AttemptOutcome::kMoved, Seconds(3), kStart);
  CHECK(PlaceRequest(Query(gateways), runner_registry, kStart + Millis(100)).runner.empty());
}

// Guards against the loss of all runners after an outage of the store, during which their records
// expire although the runners are alive.
TEST(RunnerRegistry, RecordsThatExpiredInAnOutageAreRetainedForTheGracePeriod) {
  runner_registry.Upsert(Record("a", 1), kStart);
  runner_registry.Remove("a", true, kStart);
  STRCMP_EQUAL(
      "a", PlaceRequest(Query(gateways), runner_registry, kStart + Millis(1500)).runner.c_str());
  CHECK(runner_registry.Expire(kStart + Millis(1500)).empty());
  LONGS_EQUAL(1, runner_registry.Expire(kStart + Millis(2500)).size());
  CHECK(PlaceRequest(Query(gateways), runner_registry, kStart + Millis(2500)).runner.empty());
}

// Guards against the use of a draining runner that leaves during an outage.
TEST(RunnerRegistry, ADrainingRunnerIsNeverRetained) {
  RunnerRecord record = Record("a", 1);
  record.draining = true;
  runner_registry.Upsert(record, kStart);
  CHECK(PlaceRequest(Query(gateways), runner_registry, kStart).runner.empty());
  runner_registry.Remove("a", true, kStart);
  CHECK(runner_registry.runners().empty());
}

// Guards against requests to a cold runner from a gateway that has just started and does not know
// how many others divide the rate. After a restart of all gateways, each would use the whole rate.
TEST(RunnerRegistry, AColdRunnerGetsNothingBeforeTheGatewaysAreKnown) {
  RunnerRecord record = Record("cold", 1);
  record.cold_left = Seconds(3);
  runner_registry.Upsert(record, kStart);
  PlacementQuery query = Query(gateways);
  query.cold_requests_per_second = 12;
  const std::vector<std::string> none;
  query.gateways = &none;
  CHECK(PlaceRequest(query, runner_registry, kStart).runner.empty());
  query.gateways = &gateways;
  STRCMP_EQUAL("cold", PlaceRequest(query, runner_registry, kStart).runner.c_str());
}

// Guards against full load on a runner that restarted under the same id. Its report shows the new
// start before its record does, also to a gateway without an earlier report, and records of the
// former start may still arrive.
TEST(RunnerRegistry, AReportOfANewerStartMeansAColdRunner) {
  runner_registry.Upsert(Record("a", 1, 1'000), kStart);
  EngineReport report;
  report.started_ms = 50'000;
  report.memory_total = 1'000;
  runner_registry.OnReport("10.0.0.1", 1, report, Seconds(3), kStart);
  CHECK(runner_registry.Find("a")->Cold(kStart + Seconds(2)));
  RunnerRecord late = Record("a", 1, 1'000);
  late.sequence = 2;
  runner_registry.Upsert(late, kStart + Millis(100));
  CHECK(runner_registry.Find("a")->Cold(kStart + Seconds(2)));
  RunnerRecord warm = Record("a", 1, 50'000);
  runner_registry.Upsert(warm, kStart + Seconds(2));
  CHECK_FALSE(runner_registry.Find("a")->Cold(kStart + Seconds(2)));
}

// Guards against more requests to a cold runner than its rate, summed over any number of gateways,
// each of which decides alone.
TEST(RunnerRegistry, GatewaysTogetherKeepToTheRateOfAColdRunner) {
  CheckProperty("sends in any second stay within the rate", [] {
    const int64_t rate = *rc::gen::inRange(1, 40);
    const int64_t count = *rc::gen::inRange(1, 60);
    std::vector<std::string> names;
    for (int64_t i = 0; i < count; ++i) names.push_back("gateway-" + std::to_string(i));
    int64_t sent = 0;
    for (const std::string& name : names) {
      RunnerRegistry own;
      RunnerRecord record = Record("cold", 1);
      record.cold_left = Seconds(5);
      own.Upsert(record, kStart);
      PlacementQuery query = Query(names);
      query.self = name;
      query.cold_requests_per_second = static_cast<double>(rate);
      for (int64_t i = 0; i < 100; ++i) {
        const TimePoint now = kStart + Millis(10) * i;
        if (PlaceRequest(query, own, now).runner.empty()) continue;
        own.OnPlaced("cold", 1, now);
        ++sent;
      }
    }
    RC_ASSERT(sent == rate);
  });
}

// Guards against a late datagram that brings back an earlier phase of a runner, and against a clock
// that was set back and hides all later reports.
TEST(RunnerRegistry, AReportThatWasOvertakenIsIgnored) {
  runner_registry.Upsert(Record("a", 1), kStart);
  EngineReport report;
  report.started_ms = 1'000;
  for (const int64_t time_ms : {500'000, 499'900, 400'000}) {
    report.runner_time_ms = time_ms;
    runner_registry.OnReport("10.0.0.1", 1, report, Duration{0}, kStart);
    const int64_t expected = time_ms == 499'900 ? 500'000 : time_ms;
    LONGS_EQUAL(expected, runner_registry.Find("a")->report->runner_time_ms);
  }
}

// Guards against a runner that has said it leaves and gets requests again, because the list comes
// from an older copy of the store.
TEST(RunnerRegistry, AnEarlierRecordOfAStartIsIgnored) {
  RunnerRecord record = Record("a", 1);
  record.sequence = 7;
  record.draining = true;
  runner_registry.Upsert(record, kStart);
  runner_registry.Upsert(Record("a", 1), kStart);
  CHECK(runner_registry.Find("a")->record.draining);
  runner_registry.Upsert(Record("a", 1, 2'000), kStart);
  CHECK_FALSE(runner_registry.Find("a")->record.draining);
}

// Guards against a runner that starts again under the id that it had, tells no start time, and is
// ignored for ever because its sequence numbers begin anew.
TEST(RunnerRegistry, WithoutAStartTimeALowerSequenceCounts) {
  RunnerRecord record = Record("a", 1, 0);
  record.sequence = 7;
  record.draining = true;
  runner_registry.Upsert(record, kStart);
  runner_registry.Upsert(Record("a", 1, 0), kStart);
  CHECK_FALSE(runner_registry.Find("a")->record.draining);
  runner_registry.Remove("a", /*retain=*/false, kStart);
  CHECK_FALSE(runner_registry.Departed(Record("a", 1, 0)));
}

// Guards against a runner that has left and counts as new, and against one that lives, has written
// its record again, or has started again under the id that it had, and counts as the one that left.
TEST(RunnerRegistry, ADepartureIsKnownByStartAndSequence) {
  const RunnerRecord record = Record("a", 1, 1'000);
  runner_registry.Upsert(record, kStart);
  CHECK_FALSE(runner_registry.Departed(record));
  runner_registry.Remove("a", /*retain=*/false, kStart);
  CHECK(runner_registry.Departed(record));
  RunnerRecord later = record;
  later.sequence = record.sequence + 1;
  CHECK_FALSE(runner_registry.Departed(later));
  CHECK_FALSE(runner_registry.Departed(Record("a", 1, 2'000)));
  CHECK_FALSE(runner_registry.Departed(Record("b", 1, 1'000)));
}

}  // namespace fuchsiaweir
