// Tests of a gateway and its sidecars whose runners send without end, or announce more than any
// memory holds.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

/// Memory of the smallest host that runs a gateway.
constexpr int64_t kHostMemoryMb = 96;
constexpr int kCallers = 24;
constexpr const char* kFloods[] = {"length",          "head",    "interim", "body",
                                   "chunk_extension", "trailer", "event"};

std::string Flood(const char* flood) { return absl::StrCat(R"({"flood": ")", flood, R"("})"); }

}  // namespace

TEST_GROUP(EndlessAnswers) {
  Fleet fleet{1, 2, /*sidecars=*/true};

  /// Sends `path` requests from many callers at once, all of which reach the faulty runner first or
  /// second, and returns how many were answered.
  int CallAtOnce(const std::string& path, const std::string& body) {
    std::atomic<int> answered = 0;
    std::vector<std::jthread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&]() {
        if (fleet.Call(path, body).status != 0) ++answered;
      });
    }
    callers.clear();
    return answered;
  }
};

// Guards against a gateway that ends, or keeps all bytes that a faulty runner sends: the announced
// length was allocated at once, and chunk extensions and trailers had no bound.
TEST(EndlessAnswers, AGatewayStaysWithinItsMemory) {
  fleet.Start();
  for (const char* flood : kFloods) {
    fleet.InjectFault("runner0", Flood(flood));
    fleet.InjectFault("runner1", Flood(flood));
    // Each request that was read gets an answer, and no other request is cut.
    LONGS_EQUAL_TEXT(kCallers, CallAtOnce("/safe/", "x"), flood);
    LONGS_EQUAL_TEXT(kCallers, CallAtOnce("/unsafe/", "x"), flood);
    fleet.InjectFault("runner0", "{}");
    fleet.InjectFault("runner1", "{}");
    CHECK_TEXT(Eventually([&]() { return fleet.Call("/safe/", "x").status == 200; }), flood);
    const int64_t peak = fleet.PeakMemoryMb("gateway0");
    CHECK_TEXT(peak < kHostMemoryMb, absl::StrCat(flood, ": ", peak, " MB").c_str());
  }
  CHECK(!absl::StrContains(fleet.Log("gateway0"), "operation_failed"));
}

// Guards against streams that fill the memory together, although each is within its own bound.
TEST(EndlessAnswers, StreamsStayWithinTheMemory) {
  fleet.Start();
  for (const char* flood : {"event", "chunk_extension"}) {
    fleet.InjectFault("runner0", Flood(flood));
    fleet.InjectFault("runner1", Flood(flood));
    CallAtOnce("/stream/", "events=5");
    fleet.InjectFault("runner0", "{}");
    fleet.InjectFault("runner1", "{}");
    CHECK_TEXT(Eventually([&]() { return fleet.Call("/stream/", "events=2").status == 200; }),
               flood);
    const int64_t peak = fleet.PeakMemoryMb("gateway0");
    CHECK_TEXT(peak < kHostMemoryMb, absl::StrCat(flood, ": ", peak, " MB").c_str());
  }
}

// Guards against a sidecar that runs out of memory, or no longer reports, because of its runner's
// reports.
TEST(EndlessAnswers, ASidecarStaysWithinItsMemory) {
  fleet.Start();
  for (const char* flood : kFloods) {
    fleet.InjectFault("runner0", absl::StrCat(R"({"flood_report": ")", flood, R"("})"));
    SleepMillis(1'500);
    fleet.InjectFault("runner0", "{}");
    SleepMillis(500);
    const int64_t peak = fleet.PeakMemoryMb("sidecar0");
    CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(flood, ": ", peak, " MB").c_str());
  }
  LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
}

}  // namespace fuchsiaweir::testing
