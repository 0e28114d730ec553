#include "core/crash_suspects.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <random>

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

/// Gateways and runners of a service that gets equal deadly requests.
struct FleetParameters {
  int gateways = 0;
  int runners = 0;
  Duration down_time{0};     ///< From a crash until the runner is back.
  int requests_percent = 0;  ///< Probability of a deadly request in each step.
  int answers_percent = 0;   ///< Probability of an answer to another request, per gateway.
  Duration confirm_time{0};  ///< From a crash until it is reported.
  int lost_percent = 0;      ///< Share of the reports that a gateway does not get.
  unsigned seed = 0;
};

FleetParameters DrawFleet(int lost_percent) {
  FleetParameters parameters;
  parameters.gateways = *rc::gen::inRange(2, 12);
  parameters.runners = *rc::gen::inRange(2, 7);
  parameters.down_time = Millis(*rc::gen::inRange(1'000, 5'000));
  parameters.requests_percent = *rc::gen::inRange(1, 20);
  parameters.answers_percent = *rc::gen::inRange(0, 3);
  parameters.confirm_time = Millis(*rc::gen::inRange(60, 400));
  parameters.lost_percent = lost_percent;
  parameters.seed = static_cast<unsigned>(*rc::gen::inRange(0, 1'000'000));
  return parameters;
}

/// Simulates the gateways' decisions. A runner crashes shortly after it gets a deadly request, and
/// the gateway that lost the request sends it once more if it may.
class DeadlyFleet {
 public:
  explicit DeadlyFleet(const FleetParameters& parameters)
      : parameters_(parameters),
        random_(parameters.seed),
        gateways_(static_cast<size_t>(parameters.gateways)),
        runners_(static_cast<size_t>(parameters.runners)) {
    for (size_t i = 0; i < gateways_.size(); ++i) names_.push_back("g" + std::to_string(i));
  }

  /// Returns the number of sends later than 3 s after the third crash.
  int CountLaterSends() {
    for (TimePoint now = kStart; now < kStart + Seconds(40); now += Millis(10)) {
      CrashRunners(now);
      ReportCrashes(now);
      AnswerSoundRequests(now);
      const size_t gateway = Draw(gateways_.size());
      if (Happens(parameters_.requests_percent) &&
          !gateways_[gateway].Admit(deadly_, names_[gateway], names_, now)) {
        Send(gateway, /*retries=*/1, now);
      }
    }
    return later_sends_;
  }

 private:
  struct Runner {
    TimePoint up_at = kStart;
    std::optional<TimePoint> crash_at;
  };
  struct Attempt {
    size_t gateway = 0;
    size_t runner = 0;
    int retries = 0;
    CrashReport report;
    bool lost = false;
    int reports = 0;
  };

  size_t Draw(size_t count) { return random_() % count; }
  bool Happens(int percent) { return Draw(100) < static_cast<size_t>(percent); }

  void Send(size_t gateway, int retries, TimePoint now) {
    const size_t first = Draw(runners_.size());
    for (size_t i = 0; i < runners_.size(); ++i) {
      const size_t index = (first + i) % runners_.size();
      Runner& runner = runners_[index];
      if (now < runner.up_at) continue;
      if (!runner.crash_at) runner.crash_at = now + Millis(50);
      const std::string name = "r" + std::to_string(index);
      attempts_.push_back({gateway, index, retries, {"llm", name, deadly_, now, now}});
      const std::vector<std::string> on_trial = gateways_[gateway].Suspected(deadly_);
      for (size_t other = 0; other < gateways_.size(); ++other) {
        if (other == gateway || Happens(parameters_.lost_percent)) continue;
        gateways_[other].OnTrial(on_trial, now);
      }
      later_sends_ += third_crash_at_ && now > *third_crash_at_ + Seconds(3);
      return;
    }
  }

  void CrashRunners(TimePoint now) {
    for (size_t index = 0; index < runners_.size(); ++index) {
      Runner& runner = runners_[index];
      if (!runner.crash_at || now < *runner.crash_at) continue;
      runner = {now + parameters_.down_time, std::nullopt};
      if (++crashes_ == 3) third_crash_at_ = now;
      // A retry appends an attempt.
      for (size_t i = 0; i < attempts_.size(); ++i) {
        if (attempts_[i].runner != index || attempts_[i].lost) continue;
        attempts_[i].lost = true;
        attempts_[i].report.lost_at = now;
        const size_t gateway = attempts_[i].gateway;
        if (attempts_[i].retries > 0 && gateways_[gateway].MayRetry(deadly_)) {
          Send(gateway, attempts_[i].retries - 1, now);
        }
      }
    }
  }

  void ReportCrashes(TimePoint now) {
    for (Attempt& attempt : attempts_) {
      const TimePoint due_at =
          attempt.report.lost_at + parameters_.confirm_time + Millis(150) * attempt.reports;
      if (!attempt.lost || attempt.reports == kCrashReportSends || now < due_at) continue;
      ++attempt.reports;
      for (size_t i = 0; i < gateways_.size(); ++i) {
        if (i != attempt.gateway && Happens(parameters_.lost_percent)) continue;
        gateways_[i].OnCrash(attempt.report, now);
      }
    }
  }

  void AnswerSoundRequests(TimePoint now) {
    const bool any_up = std::any_of(runners_.begin(), runners_.end(),
                                    [&](const Runner& runner) { return now >= runner.up_at; });
    for (CrashSuspects& gateway : gateways_) {
      if (!any_up || !Happens(parameters_.answers_percent)) continue;
      gateway.OnAnswer("llm", RequestTraits("sound", "", {}), now);
    }
  }

  const FleetParameters parameters_;
  const std::vector<std::string> deadly_ = RequestTraits("deadly", "", {});
  std::mt19937 random_;
  std::vector<std::string> names_;
  std::vector<CrashSuspects> gateways_;
  std::vector<Runner> runners_;
  std::vector<Attempt> attempts_;
  int crashes_ = 0;
  std::optional<TimePoint> third_crash_at_;
  int later_sends_ = 0;
};

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
      const std::string runner = "r" + std::to_string(i);
      Lose(suspects, Traits("deadly" + std::to_string(i), "deadly"), now, runner);
      Lose(suspects, Traits("lost" + std::to_string(i), "sound"), now, runner);
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
    Lose(suspects, Traits("lost" + std::to_string(i), "subject"), kStart + Millis(10 * i),
         "r" + std::to_string(i));
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
  for (CrashSuspects& suspects : fleet) suspects.Clear(Traits("", "deadly"), now);
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

// Guards against equal requests that reach more runners than the operators allow, in fleets of any
// size and with crashes that are confirmed late.
TEST(CrashSuspects, FewEqualRequestsReachRunnersAfterTheThirdCrash) {
  CheckProperty("at most three sends later than 3 s after the third crash", [] {
    RC_ASSERT(DeadlyFleet(DrawFleet(/*lost_percent=*/0)).CountLaterSends() <= 3);
  });
}

// Guards against gateways that go on sending because a crash report to them was lost.
TEST(CrashSuspects, FewEqualRequestsReachRunnersIfReportsAreLost) {
  CheckProperty("at most three sends later than 3 s after the third crash", [] {
    const int lost_percent = *rc::gen::inRange(5, 20);
    RC_ASSERT(DeadlyFleet(DrawFleet(lost_percent)).CountLaterSends() <= 3);
  });
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

// Guards against a sound request that is refused since reports of crashes come again after it was
// answered.
TEST(CrashSuspects, RepeatedReportsCountOnce) {
  CrashSuspects suspects;
  const std::vector<std::string> request = RequestTraits("popular", "", {});
  for (int i = 0; i < kCrashReportSends; ++i) {
    Lose(suspects, request, kStart + Millis(i), "r1");
    Lose(suspects, request, kStart + Millis(i), "r2");
  }
  LONGS_EQUAL(2, suspects.Crashes(request.front()));
  LONGS_EQUAL(1, suspects.OnAnswer("llm", request, kStart + Millis(100)).size());
  for (const char* runner : {"r1", "r2", "r3"}) Lose(suspects, request, kStart, runner);
  LONGS_EQUAL(0, suspects.Crashes(request.front()));
  LONGS_EQUAL(0, suspects.size());
}

// Guards against an answer that began before the crash and clears the part that caused it.
TEST(CrashSuspects, AnEarlierAnswerClearsNothing) {
  CrashSuspects suspects;
  Lose(suspects, Traits("lost", "subject"), kStart);
  CHECK(suspects.OnAnswer("llm", Traits("early", "subject"), kStart - Seconds(1)).empty());
  LONGS_EQUAL(1, suspects.Crashes(Traits("", "subject").back()));
}

}  // namespace fuchsiaweir
