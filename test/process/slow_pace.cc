#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <string>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr char kUsual[] = R"({"work_ms": 80, "run_event_ms": 20, "event_interval_ms": 1})";
constexpr char kSlow[] = R"({"work_ms": 80, "run_event_ms": 100, "event_interval_ms": 1})";
constexpr int kStreams = 30;

}  // namespace

TEST_GROUP(SlowPace) {
  Fleet fleet{1, 2, true};
  int calls = 0;

  /// Calls the stream route one after the other, with prompts, and returns the number of 200.
  int CallStreams(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const Reply reply =
          Send("POST", fleet.caller_port(0), "/stream/", "events=20",
               {{"Host", "fleet.example"},
                {"X-Fuchsiaweir-Request-Id", absl::StrCat("prompt-", ++calls)},
                {"X-Fuchsiaweir-Deadline-Ms", "3000"},
                {"X-Fuchsiaweir-Prompt-Prefix", absl::StrCat("shared:500,own-", calls, ":300")},
                {"X-Fuchsiaweir-Token-Count", "800,100"},
                {"Api-Key", "key-1"}});
      served += reply.status == 200 ? 1 : 0;
    }
    return served;
  }
};

// Guards against a pace that is lost between a runner's report and the placement at a gateway:
// requests went on to a runner whose runs had become five times as slow.
TEST(SlowPace, StreamsLeaveARunnerThatHasBecomeSlow) {
  fleet.Start();
  fleet.InjectFault("runner0", kUsual);
  fleet.InjectFault("runner1", kUsual);
  SleepMillis(1'000);
  LONGS_EQUAL(kStreams, CallStreams(kStreams));
  CHECK(fleet.Runs(0) > 0 && fleet.Runs(1) > 0);
  fleet.InjectFault("runner0", kSlow);
  SleepMillis(1'000);
  const int64_t before = fleet.Runs(0);
  LONGS_EQUAL(kStreams, CallStreams(kStreams));
  CHECK(fleet.Runs(0) - before <= kStreams / 6);
  CHECK(fleet.Log("gateway0").find("placed_by_time") != std::string::npos);
}

}  // namespace fuchsiaweir::testing
