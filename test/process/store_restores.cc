// Tests of gateways whose store comes back from a copy that is some seconds old.

#include <CppUTest/TestHarness.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <csignal>
#include <string>
#include <string_view>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

/// Latest time at which a confirmed desired state is in force while the store is stable, and after
/// which a runner that leaves gets no requests.
constexpr Duration kDesiredStateBound = Seconds(2);
constexpr Duration kDrainBound = Seconds(2);
constexpr Duration kEvacuationBound = Seconds(5);
/// Time after its return from which the store counts as stable.
constexpr Duration kStableAfter = Seconds(3);
constexpr Duration kAway = Millis(800);
/// More revisions than the store gives out between its copy and its return.
constexpr int64_t kManyRevisions = 200;
/// Reads of one kind that a process may begin in a second.
constexpr int64_t kMaxReadsPerSecond = 10;
constexpr int64_t kKinds = 5;

/// Returns the sum of a counter's series on a page of metrics.
int64_t SumOf(const std::string& page, std::string_view counter) {
  int64_t sum = 0;
  for (size_t at = page.find(counter); at != std::string::npos; at = page.find(counter, at + 1)) {
    if (at > 0 && page[at - 1] != '\n') continue;
    const size_t end = page.find('\n', at);
    const size_t value = page.rfind(' ', end) + 1;
    double number = 0;
    if (absl::SimpleAtod(page.substr(value, end - value), &number)) {
      sum += static_cast<int64_t>(number);
    }
  }
  return sum;
}

/// Returns the number of lists and watches that the store has got.
int64_t Reads(const json::object& stats) {
  int64_t reads = 0;
  for (const char* name : {"lists", "watches", "rejected"}) {
    reads += stats.at(name).to_number<int64_t>();
  }
  return reads;
}

void CheckAtMost(int64_t bound, int64_t count) {
  CHECK_TEXT(count <= bound, absl::StrCat(count, " reads, at most ", bound).c_str());
}

/// Writes what the copy will lack.
void WriteBeyondCopy(Fleet& fleet) {
  for (int i = 0; i < 60; ++i) fleet.Put("other-kind", "object", json::object{{"value", i}});
  fleet.PutDesiredState({"key-1", "key-2", "key-3"}, 1);
}

/// Writes again what the operator and the runners wrote.
void WriteAgain(Fleet& fleet, int runners) {
  fleet.PutDesiredState({"key-1", "key-2", "key-3"}, 1);
  for (int i = 0; i < runners; ++i) fleet.ListRunner(i);
}

bool Serves(Fleet& fleet, int gateways, const std::string& path, const std::string& key) {
  for (int i = 0; i < gateways; ++i) {
    if (fleet.Call(path, "x", i, key).status != 200) return false;
  }
  return true;
}

/// Changes the desired state and makes a runner leave, and checks that both take effect.
void CheckChangesTakeEffect(Fleet& fleet, int gateways) {
  CHECK(fleet.PutDesiredState({"key-1", "key-4"}, 2));
  CHECK(Eventually([&]() { return Serves(fleet, gateways, "/further1/", "key-4"); },
                   kDesiredStateBound));
  for (int i = 0; i < gateways; ++i) {
    LONGS_EQUAL(401, fleet.Call("/safe/", "x", i, "key-3").status);
  }
  CHECK(fleet.ListRunner(1, "draining"));
  SleepMillis(ToMillis(kDrainBound));
  const int64_t runs = fleet.Runs(1);
  for (int call = 0; call < 40; ++call) fleet.Call("/safe/", "x", call % gateways);
  LONGS_EQUAL(runs, fleet.Runs(1));
}

/// `fault`: of the store, from before the gateways start until the end.
void CheckRestores(int gateways, int times, const std::string& fault = "{}") {
  Fleet fleet(gateways, 2);
  fleet.Start();
  fleet.InjectFault("store", fault);
  for (int i = 0; i < gateways && fault != "{}"; ++i) fleet.Restart(absl::StrCat("gateway", i));
  SleepMillis(2'000);  // The gateways have listed each other.
  fleet.CopyStore();
  WriteBeyondCopy(fleet);
  CHECK(Eventually([&]() { return Serves(fleet, gateways, "/further0/", "key-3"); }));
  for (int i = 0; i < times; ++i) {
    fleet.RestoreStore(kAway);
    SleepMillis(ToMillis(kAway) + 300);
  }
  WriteAgain(fleet, 2);
  SleepMillis(ToMillis(kStableAfter));
  CheckChangesTakeEffect(fleet, gateways);
}

}  // namespace

TEST_GROUP(StoreRestores){};

// Guards against changes that never take effect after the store has come back from an older copy:
// its lists named lower revisions than the gateways had, were dropped, and counted as
// confirmations.
TEST(StoreRestores, ChangesTakeEffectWhenRevisionsWentBack) { CheckRestores(2, 1); }

TEST(StoreRestores, ChangesTakeEffectAfterTwoRestores) { CheckRestores(3, 2); }

// Guards against the same with a store that sends no Store-Era.
TEST(StoreRestores, ChangesTakeEffectWithoutNamedHistories) {
  CheckRestores(2, 1, R"({"no_history": true})");
}

// Guards against gateways that exceed the store's rate after a restore, so that it rejects the
// reads that would bring the changes.
TEST(StoreRestores, ChangesTakeEffectWithinTheRateOfTheStore) {
  CheckRestores(2, 1, R"({"reads_per_s": 200})");
}

// Guards against the same where gateways read the store through each other.
TEST(StoreRestores, ChangesTakeEffectBehindRelays) { CheckRestores(8, 1); }

// Guards against changes that are missed for good because the store's revisions have passed those
// of the gateways before these reach it, so that their watches succeed.
TEST(StoreRestores, ChangesBelowTheOldRevisionAreNotMissed) {
  constexpr int kGateways = 2;
  Fleet fleet(kGateways, 2);
  fleet.Start();
  fleet.CopyStore();
  WriteBeyondCopy(fleet);
  CHECK(Eventually([&]() { return Serves(fleet, kGateways, "/further0/", "key-3"); }));
  fleet.RestoreStore(kAway);
  WriteAgain(fleet, 2);
  fleet.PutDesiredState({"key-1", "key-4"}, 2);
  fleet.ListRunner(1, "draining");
  fleet.SkipStoreRevisions(kManyRevisions);
  SleepMillis(ToMillis(kAway + kStableAfter));
  CHECK(Eventually([&]() { return Serves(fleet, kGateways, "/further1/", "key-4"); },
                   kDesiredStateBound));
  const int64_t runs = fleet.Runs(1);
  for (int call = 0; call < 40; ++call) fleet.Call("/safe/", "x", call % kGateways);
  LONGS_EQUAL(runs, fleet.Runs(1));
}

// Guards against a gateway that goes back to the older state of the copy, and one that starts with
// it, while others know the newer one.
TEST(StoreRestores, NoGatewayGoesBackToTheStateOfTheCopy) {
  constexpr int kGateways = 3;
  Fleet fleet(kGateways, 2);
  fleet.Start();
  SleepMillis(2'000);  // The gateways have listed each other.
  fleet.CopyStore();
  WriteBeyondCopy(fleet);
  CHECK(Eventually([&]() { return Serves(fleet, kGateways, "/further0/", "key-3"); }));
  fleet.Signal("gateway0", SIGKILL);
  fleet.Wait("gateway0");
  fleet.RestoreStore(kAway);
  SleepMillis(ToMillis(kAway));
  fleet.Restart("gateway0");
  const TimePoint end = SteadyNow() + Millis(2'500);
  while (SteadyNow() < end) {
    for (int i = 1; i < kGateways; ++i) {
      const int status = fleet.Call("/further0/", "x", i, "key-3").status;
      CHECK(status == 200 || status == 503);
    }
  }
  WriteAgain(fleet, 2);
  SleepMillis(ToMillis(kStableAfter));
  CheckChangesTakeEffect(fleet, kGateways);
}

// Guards against a data centre that counts as restored because the store's copy is from before its
// evacuation, and against an evacuation that lasts although the operator never wrote it again.
TEST(StoreRestores, AnEvacuationThatTheCopyLacksHoldsForAWhile) {
  Fleet fleet(2, 1);
  fleet.Start();
  fleet.CopyStore();
  for (int i = 0; i < 60; ++i) fleet.Put("other-kind", "object", json::object{{"value", i}});
  fleet.Put(platform::kEvacuationKind, "east", json::object{});
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x", 0).status == 503; }, kEvacuationBound));
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x", 1).status == 503; }, kEvacuationBound));
  const int64_t runs = fleet.Runs(0);
  fleet.RestoreStore(kAway);
  SleepMillis(ToMillis(kAway));
  fleet.ListRunner(0);
  const TimePoint end = SteadyNow() + Millis(2'500);
  for (int call = 0; SteadyNow() < end; ++call) {
    fleet.Call("/safe/", "x", call % 2);
    SleepMillis(10);
  }
  LONGS_EQUAL(runs, fleet.Runs(0));
  CHECK(Eventually([&]() { return Serves(fleet, 2, "/safe/", "key-1"); }, kEvacuationBound * 2));
}

// Guards against an evacuation that lasts for good at gateways that read it from a relay: the relay
// dropped it at a position that its readers had already.
TEST(StoreRestores, AnEvacuationThatTheStoreLostEndsBehindRelays) {
  constexpr int kGateways = 8;
  Fleet fleet(kGateways, 1);
  fleet.Start();
  SleepMillis(2'000);  // The gateways have listed each other.
  fleet.CopyStore();
  fleet.Put(platform::kEvacuationKind, "east", json::object{});
  CHECK(Eventually([&]() { return fleet.AllGatewaysLogged("data_centre_evacuated"); },
                   kEvacuationBound));
  fleet.RestoreStore(kAway);
  CHECK(Eventually([&]() { return Serves(fleet, kGateways, "/safe/", "key-1"); },
                   kAway + kEvacuationBound * 2));
}

// Guards against a gateway that starts with the copy and sends requests to an evacuated data
// centre, while the others still keep the evacuation.
TEST(StoreRestores, AGatewayThatStartsLearnsWhatTheCopyLacks) {
  Fleet fleet(2, 1);
  fleet.Start();
  SleepMillis(1'000);  // The gateways have listed each other.
  fleet.CopyStore();
  fleet.Put(platform::kEvacuationKind, "east", json::object{});
  CHECK(Eventually([&]() { return fleet.AllGatewaysLogged("data_centre_evacuated"); },
                   kEvacuationBound));
  fleet.Signal("gateway0", SIGKILL);
  fleet.Wait("gateway0");
  fleet.RestoreStore(Millis(300));
  SleepMillis(600);
  const size_t logged = fleet.Log("gateway0").size();
  fleet.Restart("gateway0");
  CHECK(Eventually(
      [&]() {
        const std::string log = fleet.Log("gateway0").substr(logged);
        return log.find("data_centre_evacuated") != std::string::npos;
      },
      kDesiredStateBound));
  LONGS_EQUAL(503, fleet.Call("/safe/", "x", 0).status);
}

// Guards against requests to a runner that said it leaves, and to one that has left, because the
// store's copy lists both as ready.
TEST(StoreRestores, RunnersThatLeftStayGone) {
  Fleet fleet(2, 3);
  fleet.Start();
  fleet.CopyStore();
  for (int i = 0; i < 60; ++i) fleet.Put("other-kind", "object", json::object{{"value", i}});
  fleet.ListRunner(1, "draining");
  fleet.ListRunner(2, "draining");
  SleepMillis(500);
  fleet.Delete(platform::kRunnerKind, "runner2");
  SleepMillis(ToMillis(kDrainBound));
  const int64_t runs = fleet.Runs(1) + fleet.Runs(2);
  fleet.RestoreStore(kAway);
  SleepMillis(ToMillis(kAway));
  const TimePoint end = SteadyNow() + Millis(2'500);
  for (int call = 0; SteadyNow() < end; ++call) {
    fleet.Call("/safe/", "x", call % 2);
    SleepMillis(10);
  }
  LONGS_EQUAL(runs, fleet.Runs(1) + fleet.Runs(2));
}

// Guards against a process whose entry is gone, as after a restore from a copy that is from before
// its registration, and that no other process finds.
TEST(StoreRestores, ProcessesRegisterAgain) {
  Fleet fleet(2, 1, /*sidecars=*/true);
  fleet.Start();
  const std::string kind = "fuchsiaweir-peers";
  const auto registered = [&]() {
    for (const char* name : {"gateway0", "gateway1", "sidecar0"}) {
      if (Send("GET", fleet.store_port(), absl::StrCat("/objects/", kind, "/", name)).status !=
          200) {
        return false;
      }
    }
    return true;
  };
  CHECK(Eventually(registered));
  for (const char* name : {"gateway0", "gateway1", "sidecar0"}) fleet.Delete(kind, name);
  CHECK(Eventually(registered));
}

// Guards against reads without a pause, which exceed the store's rate and take the processor: each
// watch was answered with 410 and each list was dropped.
TEST(StoreRestores, ARestoreCausesNoSeriesOfCalls) {
  constexpr int kGateways = 2;
  constexpr int64_t kSeconds = 4;
  Fleet fleet(kGateways, 1);
  fleet.Start();
  fleet.CopyStore();
  WriteBeyondCopy(fleet);
  SleepMillis(500);
  fleet.RestoreStore(kAway);
  const json::object before = fleet.StoreStats();
  SleepMillis(kSeconds * 1'000);
  const json::object after = fleet.StoreStats();
  CheckAtMost(kMaxReadsPerSecond * kSeconds * kKinds * kGateways, Reads(after) - Reads(before));
}

// Guards against reads without a pause while the store answers each of them with 410 or 429.
TEST(StoreRestores, AnswersWithoutContentsCauseNoSeriesOfCalls) {
  constexpr int kGateways = 2;
  constexpr int64_t kSeconds = 3;
  Fleet fleet(kGateways, 1);
  fleet.Start();
  for (const char* fault :
       {R"({"busy": true})", R"({"busy": false, "history_always_gone": true})"}) {
    fleet.InjectFault("store", fault);
    const json::object before = fleet.StoreStats();
    SleepMillis(kSeconds * 1'000);
    const json::object after = fleet.StoreStats();
    // A watch that is answered with 410 is followed by a list.
    CheckAtMost(2 * kMaxReadsPerSecond * kSeconds * kKinds * kGateways,
                Reads(after) - Reads(before));
  }
}

// Guards against gateways that have all lost the store and read each other without a pause.
TEST(StoreRestores, GatewaysWithoutTheStoreReadEachOtherWithPauses) {
  constexpr int kGateways = 4;
  constexpr int64_t kSeconds = 4;
  Fleet fleet(kGateways, 1);
  fleet.Start();
  SleepMillis(2'000);  // The gateways have listed each other.
  const auto reads = [&](int gateway) {
    const std::string page = Send("GET", fleet.metrics_port(gateway), "/metrics").body;
    return SumOf(page, "fuchsiaweir_relay_reads_total");
  };
  fleet.InjectFault("store", R"({"down": true})");
  int64_t before[kGateways] = {};
  for (int i = 0; i < kGateways; ++i) before[i] = reads(i);
  SleepMillis(kSeconds * 1'000);
  for (int i = 0; i < kGateways; ++i) {
    CheckAtMost(kMaxReadsPerSecond * kSeconds * kKinds, reads(i) - before[i]);
  }
}

}  // namespace fuchsiaweir::testing
