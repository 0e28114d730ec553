#include "core/store_backoff.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kStep = Millis(50);

}  // namespace

TEST_GROUP(StoreBackoff){};

// Guards against a rejected process that calls the store several times a second for as long as it
// is rejected.
TEST(StoreBackoff, ARejectedProcessCallsAboutOnceASecond) {
  StoreBackoff backoff("gateway");
  int calls = 0;
  for (TimePoint now = kStart; now < kStart + Seconds(9); now += kStep) {
    if (backoff.Active(now)) continue;
    ++calls;
    backoff.OnRejected(now);
  }
  CHECK(calls >= 8);
  CHECK(calls <= 12);
}

// Guards against gateways that lose the store at the same moment and from then on call it at the
// same moments: none of them notices its return before all do.
TEST(StoreBackoff, RejectedProcessesDoNotCallTogether) {
  constexpr int kProcesses = 10;
  constexpr Duration kMaxGap = Millis(600);
  std::vector<StoreBackoff> processes;
  for (int i = 0; i < kProcesses; ++i) processes.emplace_back(absl::StrCat("gateway", i));
  TimePoint last_call = kStart;
  Duration longest_gap{0};
  for (TimePoint now = kStart; now < kStart + Seconds(20); now += kStep) {
    for (StoreBackoff& process : processes) {
      if (process.Active(now)) continue;
      // The first seconds bring all processes to their longest period.
      if (now > kStart + Seconds(6)) longest_gap = std::max(longest_gap, now - last_call);
      last_call = now;
      process.OnRejected(now);
    }
  }
  CHECK(longest_gap <= kMaxGap);
}

// Guards against kinds of objects that fail together and so lengthen the period many times at once.
TEST(StoreBackoff, FailuresWithinAPeriodCountOnce) {
  StoreBackoff backoff("gateway");
  for (int kind = 0; kind < 5; ++kind) backoff.OnRejected(kStart);
  CHECK(backoff.Active(kStart + Millis(100)));
  CHECK_FALSE(backoff.Active(kStart + Millis(200)));
}

// Guards against a process that avoids the store after it has been accepted again.
TEST(StoreBackoff, AnExecutedCallEndsTheBackoff) {
  StoreBackoff backoff("gateway");
  backoff.OnRejected(kStart);
  backoff.OnExecuted();
  CHECK_FALSE(backoff.Active(kStart));
}

}  // namespace fuchsiaweir
