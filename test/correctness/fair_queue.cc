#include "core/fair_queue.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

const TimePoint kStart{Seconds(1000)};

QueuedRequest Work(const std::string& id, const std::string& team, int64_t weight, int64_t priority,
                   int64_t tokens, Duration within = Seconds(100'000)) {
  return {id, team, weight, priority, tokens, kStart + within};
}

}  // namespace

TEST_GROUP(FairQueue){};

// Guards against a queue that loses work, runs it twice, runs it late or grows beyond its bound.
TEST(FairQueue, EveryRequestIsRunOrRefusedExactlyOnceAndInTime) {
  CheckProperty("accepted = run + refused; nothing runs late", [] {
    FairQueue queue({8, 8000});
    TimePoint now = kStart;
    std::set<std::string> waiting;
    for (int i = 0; i < 60; ++i) {
      const auto team = "t" + std::to_string(*rc::gen::inRange(0, 3));
      const auto tokens = *rc::gen::inRange<int64_t>(1, 20'000);
      const auto deadline = now + Millis(*rc::gen::inRange(1, 20'000));
      if (*rc::gen::inRange(0, 3) > 0) {
        const QueuedRequest work{std::to_string(i),       team,   1,
                                 *rc::gen::inRange(0, 3), tokens, deadline};
        const auto error = queue.Push(work, now);
        if (error) RC_ASSERT(error->run_state == RunState::kNotRun);
        if (!error) waiting.insert(work.id);
      } else if (const auto work = queue.Pop(now)) {
        RC_ASSERT(waiting.erase(work->id) == 1);
        RC_ASSERT(now + Micros(work->tokens * 125) <= work->deadline + Micros(1));
      }
      for (const QueuedRequest& refused : queue.TakeRefused(now)) {
        RC_ASSERT(waiting.erase(refused.id) == 1);
      }
      RC_ASSERT(queue.size() == waiting.size());
      RC_ASSERT(queue.size() <= 8);
      now += Millis(*rc::gen::inRange(0, 1000));
    }
    while (const auto work = queue.Pop(now)) RC_ASSERT(waiting.erase(work->id) == 1);
    for (const QueuedRequest& refused : queue.TakeRefused(now)) waiting.erase(refused.id);
    RC_ASSERT(waiting.empty());
    RC_ASSERT(queue.queued_tokens() == 0);
  });
}

// Guards against a team that gets more or less of a busy runner than its weight.
TEST(FairQueue, BusyTeamsShareByWeight) {
  CheckProperty("served tokens per weight differ by at most one item of each flow", [] {
    constexpr int64_t kMaxTokens = 5000;
    FairQueue queue({10'000, 8000});
    const std::map<std::string, int64_t> weights{{"a", *rc::gen::inRange(1, 8)},
                                                 {"b", *rc::gen::inRange(1, 8)}};
    std::map<std::string, double> served;
    for (int i = 0; i < 400; ++i) {
      for (const auto& [team, weight] : weights) {
        const int64_t tokens = *rc::gen::inRange<int64_t>(1, kMaxTokens);
        CHECK(!queue.Push(Work(team + std::to_string(i), team, weight, 1, tokens), kStart));
      }
    }
    for (int i = 0; i < 200; ++i) {
      const auto work = queue.Pop(kStart);
      served[work->team] += static_cast<double>(work->tokens) / static_cast<double>(work->weight);
      const double bound = 1.0 * kMaxTokens / static_cast<double>(weights.at("a")) +
                           1.0 * kMaxTokens / static_cast<double>(weights.at("b"));
      RC_ASSERT(std::abs(served["a"] - served["b"]) <= bound);
    }
  });
}

// Guards against background work that waits for ever behind a stream of urgent work.
TEST(FairQueue, LowPriorityIsNotStarved) {
  CheckProperty("background work runs within its share", [] {
    FairQueue queue({10'000, 8000});
    const int64_t urgent_tokens = *rc::gen::inRange<int64_t>(100, 2000);
    CHECK(!queue.Push(Work("u", "big", 5, 2, urgent_tokens), kStart));
    queue.Pop(kStart);
    CHECK(!queue.Push(Work("low", "small", 1, 0, 1000), kStart));
    CHECK(!queue.Push(Work("low2", "small", 1, 0, 1000), kStart));
    // Weight 1 x 1 against 5 x 16: the second item starts after 80 x 1000 urgent tokens.
    int64_t urgent = 0;
    std::set<std::string> seen;
    while (seen.size() < 2) {
      CHECK(!queue.Push(Work("u", "big", 5, 2, urgent_tokens), kStart));
      const auto work = queue.Pop(kStart);
      if (work->team == "small") seen.insert(work->id);
      if (work->team == "big") urgent += work->tokens;
      RC_ASSERT(urgent <= 80'000 + 2 * urgent_tokens);
    }
  });
}

// Guards against urgent work that waits its turn behind background work.
TEST(FairQueue, UrgentWorkGetsTheLargerShare) {
  FairQueue queue({1000, 8000});
  for (int i = 0; i < 100; ++i) {
    CHECK(!queue.Push(Work("l", "a", 1, 0, 100), kStart));
    CHECK(!queue.Push(Work("u", "b", 1, 2, 100), kStart));
  }
  int urgent = 0;
  for (int i = 0; i < 34; ++i) urgent += queue.Pop(kStart)->priority == 2 ? 1 : 0;
  CHECK(urgent >= 31);
}

// Guards against a short request that waits for the long prefills of its own team.
TEST(FairQueue, ShortWorkPassesLongPrefills) {
  FairQueue queue({1000, 8000});
  for (int i = 0; i < 20; ++i) CHECK(!queue.Push(Work("long", "a", 1, 1, 60'000), kStart));
  CHECK(queue.Pop(kStart)->id == "long");
  CHECK(!queue.Push(Work("short", "a", 1, 1, 200), kStart));
  CHECK(queue.Pop(kStart)->id == "short");
  CHECK(!queue.Pop(kStart, false));
  CHECK(queue.Pop(kStart)->id == "long");
}

// Guards against a caller that waits for a refusal until its deadline has passed.
TEST(FairQueue, HopelessWorkIsRefusedEarly) {
  FairQueue queue({1000, 8000});
  CHECK(queue.Push(Work("w", "a", 1, 1, 8000, Millis(500)), kStart)->run_state ==
        RunState::kNotRun);
  CHECK(!queue.Push(Work("x", "a", 1, 1, 8000, Millis(1100)), kStart));
  CHECK(queue.Push(Work("y", "a", 1, 1, 8000, Millis(1200)), kStart).has_value());
  const auto refused = queue.TakeRefused(kStart + Millis(200));
  LONGS_EQUAL(1, refused.size());
  CHECK(refused[0].id == "x");
}

// Guards against a full queue in which one team's backlog shuts out the others.
TEST(FairQueue, FullQueueStillTakesTheOtherTeams) {
  FairQueue queue({10, 8000});
  for (int i = 0; i < 10; ++i) CHECK(!queue.Push(Work("w", "big", 1, 1, 10), kStart));
  CHECK(queue.Push(Work("w", "big", 1, 1, 10), kStart).has_value());
  for (int i = 0; i < 5; ++i) CHECK(!queue.Push(Work("w", "small", 1, 1, 10), kStart));
  CHECK(queue.Push(Work("w", "small", 1, 1, 10), kStart).has_value());
  LONGS_EQUAL(5, queue.TakeRefused(kStart).size());
  LONGS_EQUAL(10, queue.size());
}

// Guards against a team that saves credit while idle and then holds the runner alone.
TEST(FairQueue, IdleTeamKeepsNoCredit) {
  FairQueue queue({1000, 8000});
  for (int i = 0; i < 200; ++i) CHECK(!queue.Push(Work("a", "a", 1, 1, 100), kStart));
  for (int i = 0; i < 100; ++i) CHECK(queue.Pop(kStart)->team == "a");
  for (int i = 0; i < 50; ++i) CHECK(!queue.Push(Work("b", "b", 1, 1, 100), kStart));
  int served = 0;
  for (int i = 0; i < 20; ++i) served += queue.Pop(kStart)->team == "a" ? 1 : 0;
  CHECK(served >= 9);
  CHECK(served <= 11);
}

// Guards against a caller that left and still costs prefill time.
TEST(FairQueue, RemovedWorkIsNeverRun) {
  FairQueue queue({1000, 8000});
  CHECK(!queue.Push(Work("x", "a", 1, 1, 100), kStart));
  CHECK(queue.Remove("x"));
  CHECK(!queue.Remove("x"));
  CHECK(!queue.Pop(kStart));
  LONGS_EQUAL(0, queue.queued_tokens());
}

}  // namespace fuchsiaweir
