// Tests of the placement beside runners whose load reports have ended.

#include <CppUTest/TestHarness.h>

#include "core/placement.h"
#include "core/runner_registry.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kReportPeriod = Millis(120);
constexpr Duration kColdTime{0};
/// Time after the last sign of a runner from which it gets no requests. A caller of the most urgent
/// kinds waits for about two seconds, so the request can still be served by another runner.
constexpr Duration kSilenceBound = Millis(1000);

RunnerRecord Record(const std::string& id, uint16_t port) {
  RunnerRecord record;
  record.id = id;
  record.service = "llm";
  record.address = "10.0.0.1";
  record.port = port;
  record.slots = 8;
  record.sequence = 1;
  record.started_ms = 1'000;
  return record;
}

}  // namespace

TEST_GROUP(SilentRunner) {
  std::vector<std::string> gateways{"gateway-1"};
  RunnerRegistry registry;
  TimePoint now = kStart;

  void Report(uint16_t port, int64_t running) {
    EngineReport report;
    report.started_ms = 1'000;
    report.running = running;
    report.memory_used = running * 1'000;
    report.memory_total = 100'000;
    report.runner_time_ms = ToMillis(now - kStart);
    registry.OnReport("10.0.0.1", port, report, kColdTime, now);
  }

  /// Lets the time pass while only the runners at these ports report, as busy ones.
  void Pass(Duration duration, const std::vector<uint16_t>& reporting) {
    for (const TimePoint end = now + duration; now < end; now += kReportPeriod) {
      for (const uint16_t port : reporting) Report(port, 6);
    }
  }

  int PlacedAt(const std::string& runner) {
    int placed = 0;
    for (int i = 0; i < 20; ++i) {
      PlacementQuery query;
      query.service = "llm";
      query.self = gateways.front();
      query.gateways = &gateways;
      query.random = i / 20.0;
      placed += PlaceRequest(query, registry, now).runner == runner ? 1 : 0;
    }
    return placed;
  }

  void setup() override {
    registry.Upsert(Record("a", 1), kStart);
    registry.Upsert(Record("b", 2), kStart);
    Pass(Seconds(1), {1, 2});
  }
};

// Guards against requests to a runner whose host stands still: once its last report was too old to
// be used, the runner looked idle and got most requests.
TEST(SilentRunner, GetsNoRequestsWhileOthersReport) {
  Pass(kSilenceBound, {2});
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(0, PlacedAt("a"));
    Pass(Millis(300), {2});
  }
  Report(1, 6);
  CHECK(PlacedAt("a") > 0);
}

// Guards against a runner that is lost with its sidecar alone, although it answers.
TEST(SilentRunner, GetsRequestsIfItAnswersOthers) {
  for (int i = 0; i < 10; ++i) {
    Pass(Millis(300), {2});
    registry.OnAttemptOutcome("a", AttemptOutcome::kServed, kColdTime, now);
    CHECK(PlacedAt("a") > 0);
  }
}

// Guards against a service that refuses everything because its gateway could not read reports for a
// moment: the gateway stood still, or lost its network.
TEST(SilentRunner, IsNotSilentIfNoRunnerReports) {
  now += Seconds(4);
  CHECK(PlacedAt("a") + PlacedAt("b") == 20);
  Report(2, 6);
  CHECK(PlacedAt("a") > 0);
  now += Millis(10);
  Report(1, 6);
  CHECK(PlacedAt("a") > 0);
}

}  // namespace fuchsiaweir
