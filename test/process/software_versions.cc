// Tests of streams whose runner or gateway is lost while runners of two software versions serve.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <array>
#include <csignal>
#include <limits>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "gateway/peer_link.h"
#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kStreams = 6;
constexpr char kEvents[] = "events=12";
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";
/// The first runner begins all streams. It and the last one have the old version.
constexpr std::array<int, 3> kNewRunners = {1, 2, 3};
constexpr int kOtherOldRunner = 4;
constexpr int kRunners = 5;

/// Returns the id of the last event of a stream that was received in part; 0: none.
int LastEvent(const std::string& received) {
  int last = 0;
  while (absl::StrContains(received, absl::StrCat("data: token ", last + 1, "\n"))) ++last;
  return last;
}

}  // namespace

TEST_GROUP(SoftwareVersions) {
  std::vector<std::string> received_ = std::vector<std::string>(kStreams);
  std::vector<std::thread> callers_;

  /// Starts the fleet with one runner, and streams at it through the gateways in turn.
  void Begin(Fleet & fleet, int gateways) {
    for (const int runner : kNewRunners) fleet.SetVersion(runner, "v2");
    fleet.Start();
    for (int runner = 1; runner < kRunners; ++runner) {
      fleet.Delete(platform::kRunnerKind, absl::StrCat("runner", runner));
    }
    SleepMillis(1'500);  // The gateways have read that.
    fleet.InjectFault("runner0", R"({"event_interval_ms": 250})");
    for (int i = 0; i < kStreams; ++i) {
      callers_.emplace_back([this, &fleet, gateways, i]() {
        received_[static_cast<size_t>(i)] =
            fleet.CallForBytes("/stream/", kEvents, i % gateways, absl::StrCat("stream-", i));
      });
    }
    CHECK(Eventually([&]() { return fleet.Runs(0) == kStreams; }));
    SleepMillis(300);  // Each caller has an event.
  }

  void ListNewRunners(Fleet & fleet) {
    for (const int runner : kNewRunners) fleet.ListRunner(runner);
    SleepMillis(1'200);  // The gateways have read that.
  }

  void JoinCallers() {
    for (std::thread& caller : callers_) caller.join();
    callers_.clear();
  }

  /// Takes all streams up at the gateway as their callers do. Returns how many were completed.
  int Resume(Fleet & fleet, int gateway) {
    int completed = 0;
    for (int i = 0; i < kStreams; ++i) {
      const int last = LastEvent(received_[static_cast<size_t>(i)]);
      CHECK(last > 0);
      const std::string rest =
          fleet.CallForBytes("/stream/", kEvents, gateway, "",
                             {{platform::kFirstAttemptHeader, absl::StrCat("stream-", i)},
                              {platform::kResumeAfterHeader, absl::StrCat(last)}});
      if (absl::StartsWith(rest, "HTTP/1.1 200") && absl::EndsWith(rest, kLastChunk)) ++completed;
    }
    return completed;
  }

  static int64_t RunsOfNewVersion(Fleet & fleet) {
    int64_t runs = 0;
    for (const int runner : kNewRunners) runs += fleet.Runs(runner);
    return runs;
  }

  void Restart(Fleet & fleet, int gateways) {
    for (int i = 0; i < gateways; ++i) fleet.Restart(absl::StrCat("gateway", i));
    for (int i = 0; i < gateways; ++i) CHECK(Eventually([&]() { return fleet.Ready(i); }));
  }
};

// Guards against records that are lost, or that end a process, on their way to another one.
TEST(SoftwareVersions, ARecordIsReadAsItWasWritten) {
  StreamsMessage message;
  message.version = "v1";
  message.keys = {0, 42, std::numeric_limits<uint64_t>::max()};
  message.lifetime = Seconds(30);
  const std::string text = EncodePeerMessage(message);
  const std::optional<PeerMessage> decoded = DecodePeerMessage(text);
  const auto* streams = decoded ? std::get_if<StreamsMessage>(&*decoded) : nullptr;
  CHECK(streams != nullptr);
  STRCMP_EQUAL("v1", streams->version.c_str());
  CHECK(message.keys == streams->keys);
  CHECK(message.lifetime == streams->lifetime);
  CHECK_FALSE(DecodePeerMessage(absl::StrReplaceAll(text, {{"000000000000002a", "key"}})));
  CHECK_FALSE(DecodePeerMessage(absl::StrReplaceAll(text, {{"30000", "\"soon\""}})));
}

// Guards against an answer whose first events come from one software version and whose rest comes
// from another.
TEST(SoftwareVersions, AStreamGoesOnOnlyAtTheVersionThatBeganIt) {
  Fleet fleet(1, kRunners);
  Begin(fleet, 1);
  ListNewRunners(fleet);
  fleet.ListRunner(kOtherOldRunner);
  SleepMillis(1'000);
  fleet.Signal("runner0", SIGKILL);
  JoinCallers();
  LONGS_EQUAL(0, RunsOfNewVersion(fleet));
  LONGS_EQUAL(kStreams, fleet.Runs(kOtherOldRunner));
  for (const std::string& received : received_) {
    CHECK_TEXT(absl::EndsWith(received, kLastChunk), received.c_str());
  }
}

// Guards against a stream that its caller resumes at another software version, after its gateway
// was killed.
TEST(SoftwareVersions, ATakeUpGoesOnAtTheVersionThatBeganTheStream) {
  Fleet fleet(2, kRunners, true);
  Begin(fleet, 1);
  ListNewRunners(fleet);
  fleet.ListRunner(kOtherOldRunner);
  SleepMillis(1'000);
  fleet.Signal("gateway0", SIGKILL);
  JoinCallers();
  fleet.InjectFault("runner0", "{}");
  LONGS_EQUAL(kStreams, Resume(fleet, 1));
  LONGS_EQUAL(0, RunsOfNewVersion(fleet));
}

// Guards against the same when all gateways are killed at once: none of them knows the streams
// then.
TEST(SoftwareVersions, ATakeUpAfterAKillOfAllGatewaysGoesOnAtItsVersion) {
  constexpr int kGateways = 2;
  Fleet fleet(kGateways, kRunners, true);
  Begin(fleet, kGateways);
  ListNewRunners(fleet);
  for (int i = 0; i < kGateways; ++i) fleet.Signal(absl::StrCat("gateway", i), SIGKILL);
  JoinCallers();
  Restart(fleet, kGateways);
  fleet.InjectFault("runner0", "{}");
  CHECK(Resume(fleet, 1) > kStreams / 2);
  LONGS_EQUAL(0, RunsOfNewVersion(fleet));
}

// Guards against a stream that goes on at the only listed version although another one, whose
// runners have left, began it, and nobody who knows that is left.
TEST(SoftwareVersions, ATakeUpOfAnUnknownVersionIsRefused) {
  Fleet fleet(1, kRunners);
  Begin(fleet, 1);
  ListNewRunners(fleet);
  fleet.Signal("gateway0", SIGKILL);
  JoinCallers();
  fleet.Delete(platform::kRunnerKind, "runner0");
  Restart(fleet, 1);
  LONGS_EQUAL(0, Resume(fleet, 0));
  LONGS_EQUAL(0, RunsOfNewVersion(fleet));
}

}  // namespace fuchsiaweir::testing
