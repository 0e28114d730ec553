#include "core/link_schedule.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr double kRate = 1e6;
constexpr int64_t kBlock = 20'000;  // 20 ms on the link.
constexpr Duration kBlockTime = Millis(20);
const TimePoint kStart(Seconds(1000));

LinkSchedule MakeLink() {
  return LinkSchedule({.nominal_bytes_per_second = kRate, .max_write_back_bytes = 10 * kBlock},
                      kStart);
}

}  // namespace

TEST_GROUP(LinkSchedule){};

// Guards against write-back that starts while a fetch is queued, and against fetches of one team
// that start out of deadline order.
TEST(LinkSchedule, FetchWaitsForAtMostTheRunningWriteBack) {
  CheckProperty("no write-back starts while a fetch is queued", [] {
    LinkSchedule link = MakeLink();
    TimePoint now = kStart;
    uint64_t id = 0;
    std::multimap<TimePoint, uint64_t> waiting;
    for (int step = 0; step < 60; ++step) {
      now += Millis(*rc::gen::inRange(0, 40));
      const bool fetch = *rc::gen::inRange(0, 3) == 0;
      const TimePoint deadline = now + Seconds(*rc::gen::inRange(10, 60));
      const auto kind = fetch ? TransferKind::kFetch : TransferKind::kWriteBack;
      if (link.Add({++id, "team", kind, kBlock, deadline}, now) && fetch) {
        waiting.emplace(deadline, id);
      }
      RC_ASSERT(link.write_back_bytes() <= 10 * kBlock);
      const LinkActions actions = link.Next(now);
      RC_ASSERT(actions.dropped.empty());
      if (!actions.start) {
        RC_ASSERT(waiting.empty() || link.running());
        continue;
      }
      RC_ASSERT((actions.start->kind == TransferKind::kFetch) == !waiting.empty());
      if (!waiting.empty()) {
        RC_ASSERT(actions.start->deadline == waiting.begin()->first);
        waiting.erase(waiting.begin());
      }
      now += kBlockTime / 2;
      // A fetch that is added during the transfer waits only for the rest of it.
      if (*rc::gen::inRange(0, 3) == 0) {
        link.Add({++id, "team", TransferKind::kFetch, kBlock, now + Seconds(70)}, now);
        waiting.emplace(now + Seconds(70), id);
        RC_ASSERT(!link.Next(now).start.has_value());
      }
      now += kBlockTime / 2;
      link.Progress(kBlock, now);
      link.Finish(now);
    }
  });
}

// Guards against a team that is starved by another team's many fetches with earlier deadlines, and
// against shares that ignore the weights.
TEST(LinkSchedule, TeamsShareTheLinkByWeight) {
  CheckProperty("bytes per weight differ by at most lead and one transfer", [] {
    LinkSchedule link = MakeLink();
    const std::vector<std::string> names = {"a", "b", "c"};
    std::vector<double> weights;
    std::vector<double> served(names.size(), 0);
    for (const std::string& name : names) {
      weights.push_back(*rc::gen::element(1.0, 2.0, 4.0));
      link.SetTeamWeight(name, weights.back());
    }
    TimePoint now = kStart;
    uint64_t id = 0;
    for (int step = 0; step < 150; ++step) {
      for (size_t i = 0; i < names.size(); ++i) {
        // Team a always has the earliest deadlines; every team always has queued fetches.
        const TimePoint deadline = now + Seconds(i == 0 ? 1 : 1000);
        if (i == 0 || step == 0 || *rc::gen::arbitrary<bool>()) {
          for (int n = 0; n < (step == 0 ? 150 : 1); ++n) {
            link.Add({++id, names[i], TransferKind::kFetch, kBlock, deadline + Seconds(n)}, now);
          }
        }
      }
      const LinkActions actions = link.Next(now);
      RC_ASSERT(actions.start.has_value());
      const size_t team = static_cast<size_t>(actions.start->team[0] - 'a');
      served[team] += static_cast<double>(kBlock) / weights[team];
      const auto [least, most] = std::minmax_element(served.begin(), served.end());
      RC_ASSERT(*most - *least <= 0.1 * kRate + static_cast<double>(kBlock));
      now += kBlockTime;
      link.Progress(kBlock, now);
      link.Finish(now);
    }
  });
}

// Guards against a fetch that starts after another team's fetch with a later deadline.
TEST(LinkSchedule, EarliestDeadlineOfAllTeamsGoesFirst) {
  LinkSchedule link = MakeLink();
  link.Add({1, "a", TransferKind::kFetch, kBlock, kStart + Seconds(9)}, kStart);
  link.Add({2, "b", TransferKind::kFetch, kBlock, kStart + Seconds(1)}, kStart);
  LONGS_EQUAL(2, link.Next(kStart).start->id);
}

// Guards against a team that accumulates priority while it sends nothing and then monopolises the
// link.
TEST(LinkSchedule, IdleTeamAccumulatesNoPriority) {
  LinkSchedule link = MakeLink();
  TimePoint now = kStart;
  uint64_t id = 0;
  int served_after = 0;
  for (int step = 0; step < 120; ++step) {
    link.Add({++id, "steady", TransferKind::kFetch, kBlock, now + Seconds(100)}, now);
    if (step >= 100) link.Add({++id, "late", TransferKind::kFetch, kBlock, now + Seconds(1)}, now);
    const LinkActions actions = link.Next(now);
    if (step >= 100 && actions.start->team == "steady") ++served_after;
    now += kBlockTime;
    link.Finish(now);
  }
  CHECK(served_after >= 7);
}

// Guards against a rate estimate that stays high on a slow or stalled link, against write-back on
// such a link, and against a recovered link that is never used again.
TEST(LinkSchedule, DetectsSlowLinksByProgress) {
  CheckProperty("the estimate follows the actual rate", [] {
    LinkSchedule link = MakeLink();
    const double factor = *rc::gen::element(0.0, 0.05, 0.1, 0.5, 1.0);
    TimePoint now = kStart;
    link.Add({1, "team", TransferKind::kFetch, 100 * kBlock, now + Seconds(60)}, now);
    link.Next(now);
    RC_ASSERT(link.Add({2, "team", TransferKind::kWriteBack, kBlock}, now));
    for (int step = 0; step < 40; ++step) {
      now += Millis(50);
      link.Progress(static_cast<int64_t>(kRate * factor * 0.05), now);
    }
    RC_ASSERT(std::abs(link.Rate(now) / kRate - factor) < 0.03);
    RC_ASSERT(link.IsSlow(now) == (factor < 0.25));
    RC_ASSERT(link.Add({3, "team", TransferKind::kWriteBack, kBlock}, now) == !link.IsSlow(now));
    RC_ASSERT(link.Next(now).dropped.size() == (link.IsSlow(now) ? 1U : 0U));
    link.Finish(now);
    RC_ASSERT(!link.IsSlow(now + Seconds(60)));
  });
}

// Guards against write-back that uses the whole spare capacity, and against fetches that start
// after their deadline.
TEST(LinkSchedule, BoundsWriteBackAndDropsExpiredFetches) {
  LinkSchedule link = MakeLink();
  TimePoint now = kStart;
  int64_t written = 0;
  for (uint64_t id = 1; now < kStart + Seconds(10); ++id) {
    link.Add({id, "team", TransferKind::kWriteBack, kBlock}, now);
    const LinkActions actions = link.Next(now);
    if (actions.start) written += kBlock;
    now += actions.start ? kBlockTime : actions.retry_after;
    link.Progress(actions.start ? kBlock : 0, now);
    link.Finish(now);
  }
  CHECK(written > 4'500'000 && written < 5'100'000);

  link.Add({9000, "team", TransferKind::kFetch, kBlock, now + Millis(5)}, now);
  link.Add({9001, "team", TransferKind::kFetch, kBlock, now + Seconds(5)}, now);
  const LinkActions actions = link.Next(now + Millis(6));
  LONGS_EQUAL(1, actions.dropped.size());
  LONGS_EQUAL(9000, actions.dropped[0].id);
  LONGS_EQUAL(9001, actions.start->id);
  CHECK(link.Cancel(9001) == false);
  LONGS_EQUAL(kBlock, link.QueuedBytes());
}

}  // namespace fuchsiaweir
