#include "core/crash_suspects.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {
namespace {

const TimePoint kStart = TimePoint(Seconds(100));

std::vector<std::string> Traits(const std::string& request, const std::string& subject) {
  return RequestTraits(request, "model", {"common", subject});
}

/// Loses a request that was sent 300 ms before.
void Lose(CrashSuspects& suspects, const std::vector<std::string>& traits, TimePoint lost_at,
          const std::string& runner = "r0") {
  suspects.OnCrash({"llm", runner, traits, lost_at - Millis(300), lost_at}, lost_at);
}

void AnswerOthers(CrashSuspects& suspects, TimePoint at) {
  for (int i = 0; i < 5; ++i)
    suspects.OnAnswer("llm", RequestTraits("other", "model", {"common", "x"}), at);
}

}  // namespace

TEST_GROUP(CrashSuspects){};

// Guards against runners that crash one after the other because no two of the requests that share
// the deadly part are alike.
TEST(CrashSuspects, APartOfDifferentRequestsIsRefused) {
  CrashSuspects suspects;
  TimePoint now = kStart;
  for (int i = 0; i < 4; ++i) {
    LONGS_EQUAL(i >= 3, suspects.RefusedUntil(Traits("new", "deadly"), now).has_value());
    Lose(suspects, Traits("deadly" + std::to_string(i), "deadly"), now);
    now += Seconds(1);
    suspects.OnAnswer("llm", Traits("sound" + std::to_string(i), "sound"), now);
    AnswerOthers(suspects, now);
  }
  CHECK(*suspects.RefusedUntil(Traits("new", "deadly"), now) > now + Seconds(60));
  CHECK_FALSE(suspects.RefusedUntil(Traits("new", "sound"), now).has_value());
}

// Guards against sound requests that are refused because they were lost beside deadly ones: their
// parts are cleared as soon as one of them is answered.
TEST(CrashSuspects, SoundPartsAreClearedByAnAnswer) {
  CheckProperty("no part that is answered between crashes is refused", [] {
    CrashSuspects suspects;
    TimePoint now = kStart;
    const int rounds = *rc::gen::inRange(1, 20);
    for (int i = 0; i < rounds; ++i) {
      Lose(suspects, Traits("deadly" + std::to_string(i), "deadly"), now);
      Lose(suspects, Traits("lost" + std::to_string(i), "sound"), now);
      now += Millis(*rc::gen::inRange(600, 2'000));
      suspects.OnAnswer("llm", Traits("sound" + std::to_string(i), "sound"), now);
      AnswerOthers(suspects, now);
      RC_ASSERT(!suspects.RefusedUntil(Traits("new", "sound"), now));
      RC_ASSERT(suspects.RefusedUntil(Traits("new", "deadly"), now).has_value() == (i > 1));
    }
  });
}

// Guards against a part that is refused because many runners were lost at the same moment, for
// example with their data centre.
TEST(CrashSuspects, CrashesAtTheSameMomentCountOnce) {
  CrashSuspects suspects;
  for (int i = 0; i < 12; ++i) {
    Lose(suspects, Traits("lost" + std::to_string(i), "subject"), kStart + Millis(10 * i));
  }
  AnswerOthers(suspects, kStart + Seconds(1));
  CHECK_FALSE(suspects.RefusedUntil(Traits("new", "subject"), kStart + Seconds(1)).has_value());
}

// Guards against an outage of all prompts when the runners crash for a reason of their own.
TEST(CrashSuspects, NothingIsRefusedWhileNoRequestIsAnswered) {
  CrashSuspects suspects;
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    Lose(suspects, Traits("lost" + std::to_string(i), "subject"), now);
    now += Seconds(3);
    CHECK_FALSE(suspects.RefusedUntil(Traits("new", "subject"), now).has_value());
  }
}

// Guards against a part that stays refused for long although only chance spoke against it, and
// against a trial of a deadly part that costs several runners.
TEST(CrashSuspects, AThirdCrashRefusesForAWhileOnly) {
  CrashSuspects suspects;
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    CHECK(suspects.MayRetry(Traits("new", "subject")));
    Lose(suspects, Traits("lost" + std::to_string(i), "subject"), now);
    now += Seconds(1);
  }
  AnswerOthers(suspects, now);
  CHECK(suspects.RefusedUntil(Traits("new", "subject"), now).has_value());
  now += Seconds(20);
  CHECK_FALSE(suspects.RefusedUntil(Traits("new", "subject"), now).has_value());
  CHECK_FALSE(suspects.MayRetry(Traits("new", "subject")));
  suspects.OnAnswer("llm", Traits("new", "subject"), now);
  CHECK(suspects.MayRetry(Traits("new", "subject")));
}

// Guards against a deadly part that comes at all gateways at once when its pause ends, and crashes
// a runner at each of them.
TEST(CrashSuspects, OneRequestOfAllGatewaysIsTakenOnTrial) {
  const std::vector<std::string> gateways{"g0", "g1", "g2", "g3", "g4", "g5"};
  std::vector<CrashSuspects> fleet(gateways.size());
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i) {
    for (CrashSuspects& suspects : fleet) {
      Lose(suspects, Traits("lost" + std::to_string(i), "deadly"), now);
      AnswerOthers(suspects, now + Millis(500));
    }
    now += Seconds(1);
  }
  int taken = 0;
  for (; now < kStart + Seconds(18); now += Millis(50)) {
    for (size_t i = 0; i < fleet.size(); ++i) {
      taken += !fleet[i].Admit(Traits("new", "deadly"), gateways[i], gateways, now);
    }
  }
  LONGS_EQUAL(1, taken);
  for (CrashSuspects& suspects : fleet) suspects.Clear(Traits("", "deadly"));
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK_FALSE(fleet[i].Admit(Traits("new", "deadly"), gateways[i], gateways, now).has_value());
  }
}

// Guards against equal requests that crash each runner because their limit is never reached.
TEST(CrashSuspects, EqualRequestsAreRefused) {
  CrashSuspects suspects;
  TimePoint now = kStart;
  for (int i = 0; i < 4; ++i) {
    CHECK(suspects.RefusedUntil(RequestTraits("same", "", {}), now).has_value() == (i >= 3));
    Lose(suspects, RequestTraits("same", "", {}), now);
    now += Seconds(1);
    AnswerOthers(suspects, now);
  }
}

// Guards against equal requests that keep crashing all runners of a small service. The runners are
// lost together and back for a moment only, so that the gateways see few answers in between.
TEST(CrashSuspects, EqualRequestsAreRefusedAfterTheLossOfAllRunners) {
  const std::vector<std::string> gateways{"g0", "g1", "g2", "g3", "g4", "g5"};
  const std::vector<std::string> deadly = RequestTraits("deadly", "", {});
  constexpr int kRunners = 4;
  constexpr int kMaxLaterCrashes = 3;
  for (int answers_per_round = 0; answers_per_round < 3; ++answers_per_round) {
    std::vector<CrashSuspects> fleet(gateways.size());
    int later_crashes = 0;
    for (int round = 0; round < 20; ++round) {
      const TimePoint back_at = kStart + Millis(3'600) * round;
      std::vector<CrashReport> reports;
      for (size_t i = 0; i < fleet.size() && reports.size() < kRunners; ++i) {
        const TimePoint sent_at = back_at + Millis(60) * static_cast<int64_t>(i);
        if (fleet[i].Admit(deadly, gateways[i], gateways, sent_at)) continue;
        const std::string runner = "r" + std::to_string(reports.size());
        reports.push_back({"llm", runner, deadly, sent_at, sent_at + Millis(50)});
        later_crashes += round > 0;
      }
      for (CrashSuspects& suspects : fleet) {
        for (const CrashReport& report : reports) {
          suspects.OnCrash(report, report.lost_at + Millis(300));
        }
        for (int i = 0; i < answers_per_round; ++i) {
          suspects.OnAnswer("llm", RequestTraits("other", "", {}), back_at + Millis(400));
        }
      }
    }
    CHECK(later_crashes <= kMaxLaterCrashes);
  }
}

// Guards against a sound request that is refused because several copies of it were lost with one
// runner, or because it was not answered before a pause ended.
TEST(CrashSuspects, EqualRequestsAreNotRefusedForOneRunner) {
  CrashSuspects suspects;
  const std::vector<std::string> request = RequestTraits("popular", "", {});
  for (int i = 0; i < 5; ++i) Lose(suspects, request, kStart + Millis(i));
  CHECK_FALSE(suspects.RefusedUntil(request, kStart).has_value());
  Lose(suspects, request, kStart, "r1");
  CHECK_FALSE(suspects.RefusedUntil(request, kStart).has_value());
  Lose(suspects, request, kStart, "r2");
  CHECK(suspects.RefusedUntil(request, kStart).has_value());
  const TimePoint later = kStart + Seconds(3);
  CHECK_FALSE(suspects.Admit(request, "g0", {"g0"}, later).has_value());
  CHECK(suspects.Admit(request, "g0", {"g0"}, later).has_value());
  suspects.OnAnswer("llm", request, later);
  CHECK_FALSE(suspects.Admit(request, "g0", {"g0"}, later).has_value());
}

// Guards against an answer that began before the crash and clears the part that caused it.
TEST(CrashSuspects, AnEarlierAnswerClearsNothing) {
  CrashSuspects suspects;
  Lose(suspects, Traits("lost", "subject"), kStart);
  CHECK(suspects.OnAnswer("llm", Traits("early", "subject"), kStart - Seconds(1)).empty());
  LONGS_EQUAL(1, suspects.Crashes(Traits("", "subject").back()));
}

}  // namespace fuchsiaweir
