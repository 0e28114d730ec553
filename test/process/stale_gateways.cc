// Tests of streams that their callers resume at a gateway with an old list of runners.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/relay_choice.h"
#include "core/rendezvous.h"
#include "core/stream_origin_table.h"
#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr char kEvents[] = "events=12";
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";
constexpr int kGateways = 3;
constexpr int kStreams = 6;
constexpr int kOldRunner = 0;
constexpr int kNewRunner = 1;
/// After this time the gateways take the listed version for the only one: versions that were listed
/// before count for 30 s.
constexpr int64_t kWatchMs = 33'000;

std::string GatewayName(int gateway) { return absl::StrCat("gateway", gateway); }

/// Returns the gateway that reads the runners from the store for the others.
int RunnerRelay() {
  std::vector<std::string> names;
  names.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) names.push_back(GatewayName(i));
  int relay = 0;
  while (PreferredRelay(platform::kRunnerKind, GatewayName(relay), names)) ++relay;
  return relay;
}

/// Returns the id of a request whose stream the one gateway records at `holder`, not at `other`.
std::string RequestHeldBy(int holder, int other) {
  int number = 0;
  while (true) {
    std::string id = absl::StrCat("stream-", ++number);
    const uint64_t key = StreamOriginTable::Key("llm", id);
    const std::string text = absl::StrCat(absl::Hex(key, absl::kZeroPad16));
    const std::vector<std::string> gateways{GatewayName(holder), GatewayName(other)};
    if (RendezvousTop(text, gateways, 1).front() == GatewayName(holder)) return id;
  }
}

/// Tests that have a fleet each. Its gateways have watched the list for the lifetime of streams.
enum Scenario {
  kStandstill,
  kPartition,
  kHolderAnswers,
  kOnlyVersion,
  kOnlyVersionNoSidecars,
  kEndedHolders,
  kScenarios,
};

/// Returns the gateway that will have an old list.
int StaleGateway(Scenario scenario) {
  return scenario == kPartition ? (RunnerRelay() + 1) % kGateways : RunnerRelay();
}

std::unique_ptr<Fleet> StartFleet(Scenario scenario) {
  const bool sidecars =
      scenario == kHolderAnswers || scenario == kOnlyVersion || scenario == kEndedHolders;
  const bool only_version = scenario >= kOnlyVersion;
  auto fleet = std::make_unique<Fleet>(only_version ? 2 : kGateways, 2, sidecars);
  if (!only_version) {
    fleet->UseSecondStorePort(StaleGateway(scenario));
    fleet->SetVersion(kNewRunner, "v2");
    fleet->SetKeyRevocation(Seconds(20));  // The stale gateway still accepts the key.
  }
  fleet->Start();
  if (!only_version) fleet->Delete(platform::kRunnerKind, absl::StrCat("runner", kNewRunner));
  return fleet;
}

/// Returns the fleet of a test. All fleets are started at once, since each test would take more
/// than half a minute otherwise.
std::unique_ptr<Fleet> TakeWatchedFleet(Scenario scenario) {
  static std::array<std::unique_ptr<Fleet>, kScenarios> fleets;
  if (fleets.at(scenario) == nullptr) {
    for (size_t i = 0; i < fleets.size(); ++i) {
      if (fleets.at(i) == nullptr) fleets.at(i) = StartFleet(static_cast<Scenario>(i));
    }
    SleepMillis(kWatchMs);
  }
  return std::move(fleets.at(scenario));
}

bool Completed(const std::string& received) {
  return absl::StartsWith(received, "HTTP/1.1 200") && absl::EndsWith(received, kLastChunk);
}

bool RefusedForNow(const std::string& received) {
  return absl::StartsWith(received, "HTTP/1.1 503") &&
         absl::StrContains(received, absl::StrCat("\r\n", platform::kRetryAfterHeader, ": "));
}

}  // namespace

TEST_GROUP(StaleGateways) {
  int stale_ = 0;   ///< The gateway at which the stream is resumed.
  int begin_ = 0;   ///< The gateway at which it begins.
  int holder_ = 0;  ///< The gateway that holds its record.
  std::string stream_;
  std::string received_;
  std::thread caller_;

  /// Takes the fleet of a test in which a new version joins.
  std::unique_ptr<Fleet> TakeFleet(Scenario scenario) {
    stale_ = StaleGateway(scenario);
    holder_ = scenario == kPartition ? RunnerRelay() : (stale_ + 1) % kGateways;
    begin_ = kGateways - stale_ - holder_;  // Of the numbers 0, 1 and 2.
    stream_ = RequestHeldBy(holder_, stale_);
    std::unique_ptr<Fleet> fleet = TakeWatchedFleet(scenario);
    fleet->InjectFault(absl::StrCat("runner", kNewRunner), R"({"event_interval_ms": 150})");
    return fleet;
  }

  /// Begins a stream on the runner of the new version, which joins. The other runner leaves.
  void BeginAtNewRunner(Fleet & fleet) {
    const size_t logged = fleet.Log(GatewayName(begin_)).size();
    fleet.ListRunner(kNewRunner);
    fleet.ListRunner(kOldRunner, "draining");
    CHECK(Eventually([&]() {
      return absl::StrContains(fleet.Log(GatewayName(begin_)).substr(logged), "runner_listed");
    }));
    SleepMillis(250);  // The gateway replicates records from now on.
    caller_ = std::thread(
        [&]() { received_ = fleet.CallForBytes("/stream/", kEvents, begin_, stream_); });
    CHECK(Eventually([&]() { return fleet.Runs(kNewRunner) == 1; }));
    SleepMillis(200);  // The caller has an event.
  }

  std::string Resume(Fleet & fleet) {
    return fleet.CallForBytes(
        "/stream/", kEvents, stale_, "",
        {{platform::kFirstAttemptHeader, stream_}, {platform::kResumeAfterHeader, "1"}});
  }

  /// Lets streams of the only version break off with their gateway, the first one.
  static void BreakStreams(Fleet & fleet) {
    for (const char* runner : {"runner0", "runner1"}) {
      fleet.InjectFault(runner, R"({"event_interval_ms": 100})");
    }
    std::vector<std::thread> callers;
    callers.reserve(kStreams);
    for (int i = 0; i < kStreams; ++i) {
      callers.emplace_back([&fleet, i]() {
        fleet.CallForBytes("/stream/", kEvents, 0, absl::StrCat("stream-", i));
      });
    }
    CHECK(Eventually([&]() { return fleet.Runs(0) + fleet.Runs(1) == kStreams; }));
    SleepMillis(250);  // Each caller has an event.
    fleet.Signal("gateway0", SIGKILL);
    for (std::thread& caller : callers) caller.join();
    for (const char* runner : {"runner0", "runner1"}) fleet.InjectFault(runner, "{}");
  }

  static std::string ResumeStream(Fleet & fleet, int stream) {
    return fleet.CallForBytes("/stream/", kEvents, 1, "",
                              {{platform::kFirstAttemptHeader, absl::StrCat("stream-", stream)},
                               {platform::kResumeAfterHeader, "1"}});
  }

  static void SilenceStore(Fleet & fleet) {
    fleet.InjectFault("store",
                      absl::StrCat(R"({"silence_port": )", fleet.second_store_port(), "}"));
  }

  /// Lets the stale gateway stand still without the store while the stream begins and breaks off.
  /// Returns what the caller gets that resumes it there.
  std::string ResumeAfterStandstill(Fleet & fleet) {
    SilenceStore(fleet);
    fleet.Signal(GatewayName(stale_), SIGSTOP);
    BeginAtNewRunner(fleet);
    fleet.Signal(GatewayName(holder_), SIGSTOP);
    fleet.Signal(GatewayName(begin_), SIGKILL);
    caller_.join();
    CHECK_TEXT(absl::StrContains(received_, "data: token 1\n"), received_.c_str());
    std::string rest;
    std::thread resumption([&]() { rest = Resume(fleet); });
    SleepMillis(100);  // The request waits at the gateway.
    fleet.Signal(GatewayName(stale_), SIGCONT);
    resumption.join();
    return rest;
  }
};

// Guards against a stream that goes on at another version than the one that began it: the gateway
// stood still while that version joined, and the holder of the record does not answer.
TEST(StaleGateways, AStreamIsNotResumedAtTheVersionListedBeforeAStandstill) {
  const std::unique_ptr<Fleet> taken = TakeFleet(kStandstill);
  Fleet& fleet = *taken;
  const int64_t runs = fleet.Runs(kOldRunner);
  const std::string rest = ResumeAfterStandstill(fleet);
  CHECK_TEXT(Completed(rest) || RefusedForNow(rest), rest.c_str());
  LONGS_EQUAL(runs, fleet.Runs(kOldRunner));
}

// Guards against the same at a gateway that has not stood still, but has lost the store and the
// other gateways.
TEST(StaleGateways, AStreamIsNotResumedAtTheVersionListedBeforeAPartition) {
  const std::unique_ptr<Fleet> taken = TakeFleet(kPartition);
  Fleet& fleet = *taken;
  const int64_t runs = fleet.Runs(kOldRunner);
  SilenceStore(fleet);
  fleet.Signal(GatewayName(holder_), SIGSTOP);
  BeginAtNewRunner(fleet);
  fleet.Signal(GatewayName(begin_), SIGSTOP);
  const std::string rest = Resume(fleet);
  fleet.Signal(GatewayName(begin_), SIGKILL);
  caller_.join();
  CHECK_TEXT(absl::StrContains(received_, "data: token 1\n"), received_.c_str());
  CHECK_TEXT(Completed(rest) || RefusedForNow(rest), rest.c_str());
  LONGS_EQUAL(runs, fleet.Runs(kOldRunner));
}

// Guards against a resumable stream that stays refused: sidecars hold its record, and the gateway
// hears of them again soon after it stood still.
TEST(StaleGateways, AStreamGoesOnAtItsVersionOnceAHolderAnswers) {
  const std::unique_ptr<Fleet> taken = TakeFleet(kHolderAnswers);
  Fleet& fleet = *taken;
  const int64_t runs = fleet.Runs(kOldRunner);
  std::string rest = ResumeAfterStandstill(fleet);
  fleet.InjectFault("store", R"({"silence_port": 0})");
  CHECK(Eventually([&]() {
    if (!Completed(rest)) rest = Resume(fleet);
    return Completed(rest);
  }));
  LONGS_EQUAL(runs, fleet.Runs(kOldRunner));
}

// Guards against resumptions that are refused, or delayed by a search, although only one version
// has ever served: no process has a record then, and the gateway that was killed still counts as
// alive.
TEST(StaleGateways, StreamsOfTheOnlyVersionAreResumedAtOnce) {
  constexpr Duration kResumptionBound = Millis(600);
  for (const Scenario scenario : {kOnlyVersion, kOnlyVersionNoSidecars}) {
    const std::unique_ptr<Fleet> taken = TakeWatchedFleet(scenario);
    Fleet& fleet = *taken;
    BreakStreams(fleet);
    for (int i = 0; i < kStreams; ++i) {
      const TimePoint started_at = SteadyNow();
      const std::string rest = ResumeStream(fleet, i);
      CHECK_TEXT(Completed(rest), rest.c_str());
      CHECK(SteadyNow() - started_at < kResumptionBound);
    }
    CHECK(absl::StrContains(fleet.Log("gateway1"), R"("source":"list")"));
  }
}

// Guards against resumptions that fail for long because all holders have ended: they are asked as
// long as they count as alive.
TEST(StaleGateways, EndedHoldersPreventNoResumptionForLong) {
  constexpr Duration kHoldersForgotten = Seconds(3);
  const std::unique_ptr<Fleet> taken = TakeWatchedFleet(kEndedHolders);
  Fleet& fleet = *taken;
  BreakStreams(fleet);
  for (const char* sidecar : {"sidecar0", "sidecar1"}) fleet.Signal(sidecar, SIGKILL);
  const TimePoint killed_at = SteadyNow();
  for (int i = 0; i < kStreams; ++i) {
    std::string rest;
    CHECK(Eventually(
        [&]() {
          rest = ResumeStream(fleet, i);
          CHECK_TEXT(Completed(rest) || RefusedForNow(rest), rest.c_str());
          return Completed(rest);
        },
        kHoldersForgotten - (SteadyNow() - killed_at)));
  }
}

}  // namespace fuchsiaweir::testing
