#include "core/poison_tracker.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>

#include "choices.h"
#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(PoisonTracker){};

// Guards against a poison request that crashes more than two targets while its caller retries it
// through two entries, and against refusal of the requests that ran beside it.
TEST(PoisonTracker, PoisonReachesTwoTargetsAndBystandersFinish) {
  CheckProperty("two crashes per poison request", [](uint32_t seed) {
    Choices choices(seed);
    std::array<PoisonTracker, 2> entries = {PoisonTracker({}), PoisonTracker({})};
    std::map<std::string, int> crashes;
    std::vector<std::string> wanted = {"p0", "p1", "b0", "b1", "b2", "b3"};
    for (int round = 0; round < 80; ++round) {
      PoisonTracker& entry = entries[choices.Below(2)];
      // The target accepts requests in random order, and an isolated one only while it is idle.
      std::vector<std::string> running;
      for (size_t i = 0; i < wanted.size(); ++i) {
        std::swap(wanted[i], wanted[choices.Below(static_cast<int>(wanted.size()))]);
        const PoisonVerdict verdict = entry.Decide(wanted[i], round);
        if (verdict == PoisonVerdict::kRefuse) RC_ASSERT(wanted[i][0] == 'p');
        if (verdict == PoisonVerdict::kRefuse || choices.OneIn(3)) continue;
        if (verdict == PoisonVerdict::kIsolate && !running.empty()) continue;
        const bool repeated = std::count(running.begin(), running.end(), wanted[i]) > 0;
        if (!repeated) running.push_back(wanted[i]);
        if (verdict == PoisonVerdict::kIsolate) break;
      }
      const bool crash = std::any_of(running.begin(), running.end(),
                                     [](const std::string& digest) { return digest[0] == 'p'; });
      CrashRecords changed;
      if (crash) changed = entry.RecordCrash("runner/" + std::to_string(round), running, round);
      for (PoisonTracker& peer : entries) peer.Merge(changed, round);
      for (const std::string& digest : running) {
        if (digest[0] == 'p') RC_ASSERT(++crashes[digest] <= 2);
        if (crash) continue;
        std::erase(wanted, digest);
        for (PoisonTracker& peer : entries) peer.RecordCompletion(digest);
      }
    }
    RC_ASSERT(wanted.size() == 2U);
  });
}

// Guards against counting one crash twice when two processes report it, and against records that
// grow without bound or never expire.
TEST(PoisonTracker, RecordsAreBoundedAndExpire) {
  PoisonTracker tracker({.record_lifetime_ms = 100, .max_records = 2});
  tracker.RecordCrash("r/1", {"a"}, 0);
  tracker.Merge({{"a", {{"r/1"}, 1'000'000}}}, 1);
  CHECK(tracker.Decide("a", 2) == PoisonVerdict::kIsolate);
  tracker.RecordCrash("r/2", {"b", "c"}, 50);
  CHECK_EQUAL(2U, tracker.records().size());
  CHECK(tracker.Decide("b", 150) == PoisonVerdict::kNormal);
}

}  // namespace fuchsiaweir
