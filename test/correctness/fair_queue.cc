#include "core/fair_queue.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

const TimePoint kStart{Seconds(1000)};

QueuedRequest Request(const std::string& id, const std::string& team, int64_t weight,
                      int64_t priority, int64_t tokens, Duration within = Seconds(100'000)) {
  return {id, team, weight, priority, tokens, kStart + within};
}

}  // namespace

TEST_GROUP(FairQueue){};

// Guards against a queue that loses requests, runs them twice or late, or exceeds its limit.
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
        const QueuedRequest request{std::to_string(i),       team,   1,
                                    *rc::gen::inRange(0, 3), tokens, deadline};
        const auto error = queue.Push(request, now);
        if (error) RC_ASSERT(error->run_state == RunState::kNotRun);
        if (!error) waiting.insert(request.id);
      } else if (const auto request = queue.Pop(now)) {
        RC_ASSERT(waiting.erase(request->id) == 1);
        RC_ASSERT(now + Micros(request->tokens * 125) <= request->deadline + Micros(1));
      }
      for (const QueuedRequest& refused : queue.TakeRefused(now)) {
        RC_ASSERT(waiting.erase(refused.id) == 1);
      }
      RC_ASSERT(queue.size() == waiting.size());
      RC_ASSERT(queue.size() <= 8);
      now += Millis(*rc::gen::inRange(0, 1000));
    }
    while (const auto request = queue.Pop(now)) RC_ASSERT(waiting.erase(request->id) == 1);
    for (const QueuedRequest& refused : queue.TakeRefused(now)) waiting.erase(refused.id);
    RC_ASSERT(waiting.empty());
    RC_ASSERT(queue.queued_tokens() == 0);
  });
}

// Guards against a team that gets more or less of a busy runner than its weighted share.
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
        CHECK(!queue.Push(Request(team + std::to_string(i), team, weight, 1, tokens), kStart));
      }
    }
    for (int i = 0; i < 200; ++i) {
      const auto request = queue.Pop(kStart);
      served[request->team] +=
          static_cast<double>(request->tokens) / static_cast<double>(request->weight);
      const double bound = 1.0 * kMaxTokens / static_cast<double>(weights.at("a")) +
                           1.0 * kMaxTokens / static_cast<double>(weights.at("b"));
      RC_ASSERT(std::abs(served["a"] - served["b"]) <= bound);
    }
  });
}

// Guards against starvation of background requests by a stream of urgent ones.
TEST(FairQueue, LowPriorityIsNotStarved) {
  CheckProperty("background work runs within its share", [] {
    FairQueue queue({10'000, 8000});
    const int64_t urgent_tokens = *rc::gen::inRange<int64_t>(100, 2000);
    CHECK(!queue.Push(Request("u", "big", 5, 2, urgent_tokens), kStart));
    queue.Pop(kStart);
    CHECK(!queue.Push(Request("low", "small", 1, 0, 1000), kStart));
    CHECK(!queue.Push(Request("low2", "small", 1, 0, 1000), kStart));
    // Weight 1 x 1 against 5 x 16: the second request starts after 80 x 1000 urgent tokens.
    int64_t urgent = 0;
    std::set<std::string> seen;
    while (seen.size() < 2) {
      CHECK(!queue.Push(Request("u", "big", 5, 2, urgent_tokens), kStart));
      const auto request = queue.Pop(kStart);
      if (request->team == "small") seen.insert(request->id);
      if (request->team == "big") urgent += request->tokens;
      RC_ASSERT(urgent <= 80'000 + 2 * urgent_tokens);
    }
  });
}

// Guards against urgent requests that wait behind background ones.
TEST(FairQueue, UrgentRequestsGetTheLargerShare) {
  FairQueue queue({1000, 8000});
  for (int i = 0; i < 100; ++i) {
    CHECK(!queue.Push(Request("l", "a", 1, 0, 100), kStart));
    CHECK(!queue.Push(Request("u", "b", 1, 2, 100), kStart));
  }
  int urgent = 0;
  for (int i = 0; i < 34; ++i) urgent += queue.Pop(kStart)->priority == 2 ? 1 : 0;
  CHECK(urgent >= 31);
}

// Guards against a short request that waits for the long prefills of its own team.
TEST(FairQueue, ShortRequestsOvertakeLongPrefills) {
  FairQueue queue({1000, 8000});
  for (int i = 0; i < 20; ++i) CHECK(!queue.Push(Request("long", "a", 1, 1, 60'000), kStart));
  CHECK(queue.Pop(kStart)->id == "long");
  CHECK(!queue.Push(Request("short", "a", 1, 1, 200), kStart));
  CHECK(queue.Pop(kStart)->id == "short");
  CHECK(!queue.Pop(kStart, false));
  CHECK(queue.Pop(kStart)->id == "long");
}

// Guards against a request that cannot meet its deadline and is refused only after it.
TEST(FairQueue, RequestsThatCannotMeetTheirDeadlineAreRefusedEarly) {
  FairQueue queue({1000, 8000});
  CHECK(queue.Push(Request("w", "a", 1, 1, 8000, Millis(500)), kStart)->run_state ==
        RunState::kNotRun);
  CHECK(!queue.Push(Request("x", "a", 1, 1, 8000, Millis(1100)), kStart));
  CHECK(queue.Push(Request("y", "a", 1, 1, 8000, Millis(1200)), kStart).has_value());
  const auto refused = queue.TakeRefused(kStart + Millis(200));
  LONGS_EQUAL(1, refused.size());
  CHECK(refused[0].id == "x");
}

// Guards against one team's backlog that fills the queue and blocks the other teams.
TEST(FairQueue, FullQueueStillAcceptsOtherTeams) {
  FairQueue queue({10, 8000});
  for (int i = 0; i < 10; ++i) CHECK(!queue.Push(Request("w", "big", 1, 1, 10), kStart));
  CHECK(queue.Push(Request("w", "big", 1, 1, 10), kStart).has_value());
  for (int i = 0; i < 5; ++i) CHECK(!queue.Push(Request("w", "small", 1, 1, 10), kStart));
  CHECK(queue.Push(Request("w", "small", 1, 1, 10), kStart).has_value());
  LONGS_EQUAL(5, queue.TakeRefused(kStart).size());
  LONGS_EQUAL(10, queue.size());
}

// Guards against a team that accumulates credit while idle and then monopolizes the runner.
TEST(FairQueue, IdleTeamGainsNoCredit) {
  FairQueue queue({1000, 8000});
  for (int i = 0; i < 200; ++i) CHECK(!queue.Push(Request("a", "a", 1, 1, 100), kStart));
  for (int i = 0; i < 100; ++i) CHECK(queue.Pop(kStart)->team == "a");
  for (int i = 0; i < 50; ++i) CHECK(!queue.Push(Request("b", "b", 1, 1, 100), kStart));
  int served = 0;
  for (int i = 0; i < 20; ++i) served += queue.Pop(kStart)->team == "a" ? 1 : 0;
  CHECK(served >= 9);
  CHECK(served <= 11);
}

// Guards against cancelled requests that still use prefill time.
TEST(FairQueue, RemovedRequestsAreNeverRun) {
  FairQueue queue({1000, 8000});
  CHECK(!queue.Push(Request("x", "a", 1, 1, 100), kStart));
  CHECK(queue.Remove("x"));
  CHECK(!queue.Remove("x"));
  CHECK(!queue.Pop(kStart));
  LONGS_EQUAL(0, queue.queued_tokens());
}

}  // namespace fuchsiaweir
