// Tests of the memory of a gateway whose operator changes the desired state often.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

/// Memory of the smallest host that runs a gateway.
constexpr int64_t kHostMemoryMb = 96;
/// As many routes as fit into the largest value that the store takes.
constexpr int kRoutes = 3'000;
constexpr int kChanges = 40;
constexpr int64_t kChangeIntervalMs = 200;

}  // namespace

TEST_GROUP(DesiredStateMemory) { Fleet fleet{2, 2}; };

// Guards against a gateway that keeps each desired state: its changes were kept for relays, and
// requests that last long kept the one under which they arrived.
TEST(DesiredStateMemory, ManyLargeChangesFitInMemory) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"event_interval_ms": 100})");
  fleet.InjectFault("runner1", R"({"event_interval_ms": 100})");
  std::vector<std::jthread> callers;
  for (int change = 0; change < kChanges; ++change) {
    fleet.PutDesiredState({"key-1"}, kRoutes);
    callers.emplace_back([this]() {
      const Reply reply = fleet.Call("/stream/", "events=25");
      LONGS_EQUAL(200, reply.status);
    });
    SleepMillis(kChangeIntervalMs);
  }
  callers.clear();
  for (const char* gateway : {"gateway0", "gateway1"}) {
    const int64_t peak = fleet.PeakMemoryMb(gateway);
    CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(gateway, " ", peak, " MB").c_str());
  }
}

// Guards against a gateway that runs out of memory when its store returns at once what it missed
// while it was out of reach, as a watch of all changes since.
TEST(DesiredStateMemory, ChangesMissedDuringAnOutageFitInMemory) {
  fleet.Start();
  fleet.Signal("gateway0", SIGSTOP);
  for (int change = 0; change < kChanges; ++change) fleet.PutDesiredState({"key-1"}, kRoutes);
  fleet.PutDesiredState({"key-3"}, kRoutes);
  fleet.Signal("gateway0", SIGCONT);
  CHECK(Eventually([this]() { return fleet.Call("/safe/", "x", 0, "key-3").status == 200; }));
  LONGS_EQUAL(401, fleet.Call("/safe/", "x", 0, "key-1").status);
  const int64_t peak = fleet.PeakMemoryMb("gateway0");
  CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(peak, " MB").c_str());
}

}  // namespace fuchsiaweir::testing
