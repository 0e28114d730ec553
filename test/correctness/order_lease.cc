#include "core/order_lease.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <utility>

#include "choices.h"
#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(OrderLease){};

// Guards against orders by a paused or replaced holder to an engine that ignores fencing numbers:
// an order may take effect up to `order_timeout` after it was sent.
TEST(OrderLease, OldHolderNeverActsAfterTheNewOne) {
  int orders = 0;
  CheckProperty("effects follow the fence", [&](uint32_t seed) {
    Choices choices(seed);
    const OrderLeaseRules rules;
    std::array<OrderLease, 2> agents = {OrderLease(rules, "a", false),
                                        OrderLease(rules, "b", false)};
    OrderLeaseRecord record;
    TimePoint now{};
    TimePoint last_effect{};
    int64_t last_fence = 0;
    for (int step = 0; step < 150; ++step) {
      now += Millis(choices.Below(3'000));
      // Mostly one agent renews; now and then the other takes over while the first may be paused.
      OrderLease& agent = agents[choices.OneIn(12) ? 1 - record.fence % 2 : record.fence % 2];
      if (!choices.OneIn(3)) {
        const TimePoint began = now;
        now += Millis(choices.Below(500));
        record = agent.Propose(record);
        agent.OnWritten(record, began, now);
      }
      for (OrderLease& sender : agents) {
        if (!sender.MaySendOrder(now)) continue;
        ++orders;
        RC_ASSERT(sender.fence() >= last_fence);
        if (sender.fence() > last_fence) RC_ASSERT(now >= last_effect);
        last_fence = sender.fence();
        last_effect = now + rules.order_timeout;
      }
    }
  });
  // A lease that allows no order would also pass.
  CHECK(orders > 200);
}

}  // namespace fuchsiaweir
