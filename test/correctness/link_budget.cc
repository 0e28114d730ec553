#include "core/link_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr double kLinkBytesPerSecond = 16e9;
constexpr double kTransferBytes = 300e6;
constexpr double kSimulatedSeconds = 30;

/// Simulates `kSimulatedSeconds` of fetches that arrive at `demand` times the link rate. Returns
/// the bytes delivered in time as a fraction of the link's capacity. The link carries one transfer
/// at a time; a transfer is late when it ends more than 250 ms after its request. Gateway I
/// receives traffic in proportion to 1 + I % 3.
double SimulateLink(double demand, size_t gateways, bool budgeted) {
  std::mt19937 random(20261204);
  std::exponential_distribution<double> gap(demand * kLinkBytesPerSecond / kTransferBytes);
  std::vector<double> traffic;
  for (size_t i = 0; i < gateways; ++i) traffic.push_back(static_cast<double>(1 + i % 3));
  std::discrete_distribution<size_t> choose(traffic.begin(), traffic.end());
  std::vector<LinkBudget> budgets(gateways);
  double in_time = 0;
  TimePoint free_at = kStart;
  for (double at = gap(random); at < kSimulatedSeconds; at += gap(random)) {
    const TimePoint now = kStart + Micros(static_cast<int64_t>(at * 1e6));
    LinkBudget& budget = budgets[choose(random)];
    if (budgeted && !budget.Admits(now)) continue;
    budget.OnTransfer(kTransferBytes, kLinkBytesPerSecond, static_cast<double>(gateways), now);
    free_at = std::max(free_at, now) +
              Micros(static_cast<int64_t>(kTransferBytes / kLinkBytesPerSecond * 1e6));
    if (free_at - now <= Millis(250)) in_time += kTransferBytes;
  }
  return in_time / (kLinkBytesPerSecond * kSimulatedSeconds);
}

}  // namespace

TEST_GROUP(LinkBudget){};

// Load pattern: returning prompts request 1.5 times the link rate from a store. Guards against a
// queue in which every transfer finishes too late, so that the link capacity is wasted.
TEST(LinkBudget, AnOverloadedLinkStillDeliversInTime) {
  for (const size_t gateways : {size_t{10}, size_t{50}}) {
    CHECK(SimulateLink(1.5, gateways, false) < 0.1);
    CHECK(SimulateLink(1.5, gateways, true) > 0.5);
  }
}

// Guards against a budget that rejects transfers while the link has spare capacity.
TEST(LinkBudget, ALinkWithSpareCapacityIsUsed) {
  const double without_budget = SimulateLink(0.5, 10, false);
  CHECK(SimulateLink(0.5, 10, true) >= 0.95 * without_budget);
}

// Guards against a gateway that is admitted more than its share of the link over any period.
TEST(LinkBudget, AdmissionStaysWithinTheShare) {
  CheckProperty("admitted bytes <= share x time + backlog + one transfer", [] {
    LinkBudget budget;
    const double bytes = *rc::gen::inRange(1, 1'000) * 1e6;
    double admitted = 0;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += Millis(*rc::gen::inRange(0, 100));
      if (!budget.Admits(now)) continue;
      budget.OnTransfer(bytes, 10e9, 10, now);
      admitted += bytes;
    }
    RC_ASSERT(admitted <= 1e9 * (ToSeconds(now - kStart) + 2.1) + bytes);
  });
}

}  // namespace fuchsiaweir
