#include "core/work_pace.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "platform/decode.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kPeriod = Millis(120);

/// Replays the reports of an engine with `runs` runs, whose events take `event_time(t)` at time t.
class EngineReplay {
 public:
  explicit EngineReplay(int runs) : progress_(runs) {}

  /// Advances by one period, and returns the pace measured from the engine's next report.
  Duration Next(Duration event_time) {
    now_ += kPeriod;
    EngineReport report;
    for (size_t i = 0; i < progress_.size(); ++i) {
      progress_[i] += ToSeconds(kPeriod) / ToSeconds(event_time);
      // Runs are at different fractions of their next event.
      const double offset = 1 + static_cast<double>(i) / static_cast<double>(progress_.size());
      report.runs.push_back({i + 1, static_cast<int64_t>(progress_[i] + offset)});
    }
    return meter_.OnReport(report, now_);
  }

 private:
  PaceMeter meter_;
  std::vector<double> progress_;
  TimePoint now_ = kStart;
};

}  // namespace

TEST_GROUP(WorkPace){};

// Replays a runner that takes 2.5 times as long for 0.6 s. Guards against slow periods that are
// seen only when they are over, or that count for long afterwards.
TEST(WorkPace, ASlowPeriodIsSeenWithinTwoReports) {
  EngineReplay engine(8);
  for (int i = 0; i < 10; ++i) engine.Next(Millis(20));
  const Duration usual = engine.Next(Millis(20));
  CHECK(usual > Millis(18) && usual < Millis(22));
  engine.Next(Millis(50));
  CHECK(engine.Next(Millis(50)) > usual * 17 / 10);
  for (int i = 0; i < 3; ++i) engine.Next(Millis(50));
  CHECK(engine.Next(Millis(50)) > usual * 23 / 10);
  engine.Next(Millis(20));
  CHECK(engine.Next(Millis(20)) < usual * 14 / 10);
}

// Guards against a pace from a single event of a run that has just begun, which would be rounding.
TEST(WorkPace, FewEventsGiveNoPace) {
  PaceMeter meter;
  EngineReport report;
  CHECK(meter.OnReport(report, kStart) == Duration{0});
  report.runs = {{1, 1}};
  CHECK(meter.OnReport(report, kStart + kPeriod) == Duration{0});
  report.runs = {{1, 3}};
  CHECK(meter.OnReport(report, kStart + kPeriod * 2) == Duration{0});
}

// Guards against a restart, a run that starts again and reading of a prompt that count as progress.
TEST(WorkPace, OnlyContinuedRunsCount) {
  PaceMeter meter;
  EngineReport report;
  report.runs = {{1, 0}, {2, 90}, {3, 10}};
  meter.OnReport(report, kStart);
  report.runs = {{1, 30}, {2, 4}, {3, 20}};
  CHECK(meter.OnReport(report, kStart + kPeriod) == kPeriod / 10);
  report.started_ms = 7;
  report.runs = {{1, 300}, {2, 400}, {3, 500}};
  CHECK(meter.OnReport(report, kStart + kPeriod * 2) == Duration{0});
}

// Guards against an engine that makes no progress at all and has the usual pace.
TEST(WorkPace, AStalledEngineIsSlow) {
  PaceMeter meter;
  EngineReport report;
  report.runs = {{1, 5}, {2, 5}, {3, 5}, {4, 5}};
  Duration pace{0};
  for (int i = 0; i < 4; ++i) pace = meter.OnReport(report, kStart + kPeriod * i);
  CHECK(pace > Millis(400));
}

// Guards against delays of a busy host that look like a slow runner: the interval is that between
// the times on the runner's clock, unless this clock was set.
TEST(WorkPace, TheRunnersClockCounts) {
  PaceMeter meter;
  EngineReport report;
  report.runs = {{1, 1}, {2, 1}};
  report.runner_time_ms = 5'000'000;
  meter.OnReport(report, kStart);
  report.runs = {{1, 6}, {2, 6}};
  report.runner_time_ms += 100;
  CHECK(meter.OnReport(report, kStart + Millis(180)) == Millis(20));
  report.runs = {{1, 106}, {2, 106}};
  report.runner_time_ms -= 3'600'000;
  const Duration pace = meter.OnReport(report, kStart + Millis(180 + 120));
  CHECK(pace > Duration{0} && pace < Millis(3));
}

// Guards against odd rows of a report that hide the others.
TEST(WorkPace, ProgressOfRunsIsRead) {
  const auto report = platform::DecodeEngineReport(
      R"({"active":4,"queued":0,"runs":[["b",10,7,2],["a",10,9,2],[4,1,1,1],["c",1,-3,1],["d"]]})");
  CHECK(report.has_value());
  LONGS_EQUAL(2, report->runs.size());
  CHECK(report->runs[0].id_hash < report->runs[1].id_hash);
  LONGS_EQUAL(16, report->runs[0].events + report->runs[1].events);
}

}  // namespace fuchsiaweir
