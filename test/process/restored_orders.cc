// Orders of the operator, for weights and for rollouts, whose platform store comes back from a copy
// that is some seconds old.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <csignal>
#include <sstream>
#include <string>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

constexpr Duration kAway = Millis(300);
/// Longest wait for a load of weights or a status. A sidecar whose token is too low takes a new one
/// each 500 ms, which must not raise it past the runner's within this time.
constexpr Duration kPatience = Seconds(6);
/// Revisions that the store gives out after its copy is made; more than it gives out between its
/// return and the end of a test.
constexpr int kLostRevisions = 120;
constexpr int64_t kSkippedRevisions = 400;
/// Time from the store's return until the operator writes again, and until which an order must not
/// have been reverted.
constexpr Duration kWrittenAgainAfter = Seconds(1);
constexpr Duration kOrderStandsFor = Seconds(2);
/// Time after a restore in which the operator is expected to write again.
constexpr Duration kRestoreGrace = Seconds(5);

/// Writes other objects, so that the revisions go back by at least their number with the restore.
void UseRevisions(Fleet& fleet) {
  for (int i = 0; i < kLostRevisions; ++i) fleet.Put("other-kind", "object", json::object{});
}

int64_t CountOf(const std::string& log, const std::string& text) {
  int64_t count = 0;
  for (size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) ++count;
  return count;
}

void NameWeights(Fleet& fleet, int64_t version) {
  CHECK(fleet.Put(platform::kVersionKind, "model",
                  json::object{{"model", "model"}, {"version", version}}));
}

bool Loads(Fleet& fleet, int runner, int64_t version) {
  return Eventually(
      [&]() { return fleet.Stats(runner).at("version").to_number<int64_t>() == version; },
      kPatience);
}

int64_t HighestFence(Fleet& fleet, int runner) {
  return fleet.Stats(runner).at("fence").to_number<int64_t>();
}

/// Whether the process read the kind from another gateway when it last changed its source.
bool ReadsFromRelay(const Fleet& fleet, const std::string& process, const std::string& kind) {
  std::istringstream lines(fleet.Log(process));
  bool relay = false;
  for (std::string line; std::getline(lines, line);) {
    if (!absl::StrContains(line, "\"source_changed\"")) continue;
    if (!absl::StrContains(line, absl::StrCat("\"kind\":\"", kind, "\""))) continue;
    relay = !absl::StrContains(line, "\"source\":\"store\"");
  }
  return relay;
}

bool LearnsWeights(const Fleet& fleet, const std::string& process, int64_t version) {
  const std::string event =
      absl::StrCat("\"weights_named\",\"model\":\"model\",\"version\":\"", version, "\"");
  return Eventually([&]() { return absl::StrContains(fleet.Log(process), event); }, kPatience);
}

void CheckSidecarLearnsBehindRelays(int64_t skipped_revisions) {
  Fleet fleet(2, 1, /*sidecars=*/true);
  fleet.UseSecondStorePortForSidecars();
  fleet.Start();
  CHECK(Eventually([&]() { return ReadsFromRelay(fleet, "sidecar0", platform::kVersionKind); },
                   kPatience));
  fleet.CopyStore();
  UseRevisions(fleet);
  NameWeights(fleet, 2);
  CHECK(LearnsWeights(fleet, "sidecar0", 2));
  // From here on the sidecar has the gateways only.
  fleet.InjectFault("store", absl::StrCat("{\"refuse_port\": ", fleet.second_store_port(), "}"));
  fleet.RestoreStore(kAway);
  NameWeights(fleet, 3);
  if (skipped_revisions > 0) fleet.SkipStoreRevisions(skipped_revisions);
  CHECK(LearnsWeights(fleet, "sidecar0", 3));
}

/// Gateways with a rollout that is ordered before or after the store's copy is made. Runner 0 has
/// the present version, runner 1 the version "v2"; no runner has the version "v3".
class OrderedFleet {
 public:
  OrderedFleet() : fleet_(kGateways, 2) {
    fleet_.SetVersion(1, "v2");
    fleet_.AddBounds("canary_share = 0.1\ncanary_slack = 30\nrollback_ms = 5000\n");
    fleet_.Start();
  }

  Fleet& fleet() { return fleet_; }

  void Order(const std::string& target, double within_s) {
    CHECK(fleet_.Put(platform::kRolloutKind, "llm",
                     json::object{{"service", "llm"}, {"target", target}, {"within_s", within_s}}));
  }

  std::string State() { return fleet_.StateOf(platform::kRolloutKind, "llm"); }

  /// Whether the store has no final status.
  bool Unfinished() { return State().empty() || State() == "running"; }

  bool Reaches(const std::string& state) {
    const auto reached = [&]() { return State() == state; };
    if (Eventually(reached, kPatience)) return true;
    PrintDecisions();
    return false;
  }

  /// Checks how often each gateway has logged an event.
  void CheckLogged(int64_t times, const std::string& event) {
    for (int i = 0; i < kGateways; ++i) {
      const std::string log = fleet_.Log(absl::StrCat("gateway", i));
      const int64_t logged = CountOf(log, absl::StrCat("\"", event, "\""));
      if (logged != times) PrintDecisions();
      LONGS_EQUAL(times, logged);
    }
  }

 private:
  static constexpr int kGateways = 2;

  /// Prints what the gateways have logged of rollouts and their orders, for the report of a
  /// failure.
  void PrintDecisions() {
    for (int i = 0; i < kGateways; ++i) {
      std::istringstream log(fleet_.Log(absl::StrCat("gateway", i)));
      for (std::string line; std::getline(log, line);) {
        const bool of_rollouts = absl::StrContains(line, "\"rollout_") ||
                                 absl::StrContains(line, "\"kind\":\"rollouts\"");
        if (of_rollouts) UT_PRINT(line.c_str());
      }
    }
  }

  Fleet fleet_;
};

}  // namespace

TEST_GROUP(RestoredOrders){};

// Guards against sidecars whose fencing tokens are below those that their runners have seen, since
// the store gives out revisions again, and against the use of a token from before the restore,
// which another process may get again.
TEST(RestoredOrders, WeightsAreLoadedWithHigherTokensAfterARestore) {
  constexpr int kRunners = 2;
  Fleet fleet(1, kRunners, /*sidecars=*/true);
  fleet.Start();
  for (const char* runner : {"runner0", "runner1"}) {
    fleet.InjectFault(runner, R"({"check_fence": true})");
  }
  fleet.CopyStore();
  UseRevisions(fleet);
  NameWeights(fleet, 2);
  for (int i = 0; i < kRunners; ++i) CHECK(Loads(fleet, i, 2));
  const int64_t restarted_fence = HighestFence(fleet, 0);
  const int64_t running_fence = HighestFence(fleet, 1);
  CHECK(restarted_fence >= kLostRevisions);
  fleet.Signal("sidecar0", SIGKILL);
  fleet.Wait("sidecar0");
  fleet.RestoreStore(kAway);
  fleet.Restart("sidecar0");
  NameWeights(fleet, 3);
  for (int i = 0; i < kRunners; ++i) CHECK(Loads(fleet, i, 3));
  CHECK(HighestFence(fleet, 0) > restarted_fence);
  CHECK(HighestFence(fleet, 1) > running_fence);
}

// Guards against a sidecar that reads through gateways and drops what was named since a restore,
// because its revision is lower than the sidecar's.
TEST(RestoredOrders, ASidecarBehindRelaysLearnsWeightsNamedAfterARestore) {
  CheckSidecarLearnsBehindRelays(0);
}

// Guards against the same where the store's revisions have passed the sidecar's before it reads
// again, so that its position in the earlier history looks like one in the present history.
TEST(RestoredOrders, ASidecarBehindRelaysLearnsWeightsNamedAtSkippedRevisions) {
  CheckSidecarLearnsBehindRelays(kSkippedRevisions);
}

// Guards against an order that stays without its final status, and against a second rollout,
// because the store's copy has the order from before its end.
TEST(RestoredOrders, AFinalStatusThatTheCopyLacksIsWrittenAgain) {
  OrderedFleet ordered;
  ordered.Order("v2", 3);
  ordered.fleet().CopyStore();
  CHECK(ordered.Unfinished());
  UseRevisions(ordered.fleet());
  CHECK(ordered.Reaches("done"));
  ordered.fleet().RestoreStore(kAway);
  CHECK(ordered.Reaches("done"));
  ordered.CheckLogged(1, "rollout_ordered");
}

// Guards against a second rollout of a version that was reverted, when the operator writes the
// order again, which clears its status, after the gateways have written the status again.
TEST(RestoredOrders, ARevertedOrderThatIsWrittenAgainStaysReverted) {
  OrderedFleet ordered;
  ordered.Order("v3", 2);
  ordered.fleet().CopyStore();
  CHECK(ordered.Unfinished());
  UseRevisions(ordered.fleet());
  CHECK(ordered.Reaches("reverted"));
  ordered.fleet().RestoreStore(kAway);
  CHECK(ordered.Reaches("reverted"));
  ordered.Order("v3", 2);
  CHECK(ordered.Reaches("reverted"));
  ordered.CheckLogged(1, "rollout_ordered");
}

// Guards against the same where the copy lacks the order and the operator writes it again.
TEST(RestoredOrders, ARevertedOrderThatTheCopyLacksStaysReverted) {
  OrderedFleet ordered;
  ordered.fleet().CopyStore();
  UseRevisions(ordered.fleet());
  ordered.Order("v3", 2);
  CHECK(ordered.Reaches("reverted"));
  ordered.fleet().RestoreStore(kAway);
  SleepMillis(ToMillis(kAway + kWrittenAgainAfter));
  ordered.Order("v3", 2);
  CHECK(ordered.Reaches("reverted"));
  ordered.CheckLogged(1, "rollout_ordered");
  ordered.CheckLogged(0, "rollout_removed");
}

// Guards against a rollout in progress that ends, and begins again, because the copy has an earlier
// order for the service in place of its order.
TEST(RestoredOrders, ARolloutInProgressOutlastsAnEarlierOrderOfTheCopy) {
  OrderedFleet ordered;
  ordered.Order("v1", 5);
  CHECK(ordered.Reaches("done"));
  ordered.fleet().CopyStore();
  UseRevisions(ordered.fleet());
  ordered.Order("v2", 5);
  CHECK(ordered.Reaches("running"));
  ordered.fleet().RestoreStore(kAway);
  SleepMillis(ToMillis(kAway + kWrittenAgainAfter));
  ordered.Order("v2", 5);
  CHECK(ordered.Reaches("done"));
  ordered.CheckLogged(0, "rollout_superseded");
  ordered.CheckLogged(1, "rollout_ordered");
}

// Guards against requests to the replaced version, and against a second rollout, because the copy
// has an earlier order for the service in place of one that was carried out.
TEST(RestoredOrders, AFinishedRolloutOutlastsAnEarlierOrderOfTheCopy) {
  OrderedFleet ordered;
  ordered.Order("v1", 5);
  CHECK(ordered.Reaches("done"));
  ordered.fleet().CopyStore();
  UseRevisions(ordered.fleet());
  ordered.Order("v2", 2);
  CHECK(ordered.Reaches("done"));
  CHECK(Eventually(
      [&]() { return ordered.fleet().AllGatewaysLogged("\"target\":\"v2\",\"state\":\"done\""); }));
  const int64_t runs = ordered.fleet().Runs(0);
  ordered.fleet().RestoreStore(kAway);
  const TimePoint end = SteadyNow() + kAway + kWrittenAgainAfter;
  while (SteadyNow() < end) {
    LONGS_EQUAL(200, ordered.fleet().Call("/safe/", "x", 0).status);
    SleepMillis(10);
  }
  ordered.Order("v2", 2);
  CHECK(ordered.Reaches("done"));
  LONGS_EQUAL(runs, ordered.fleet().Runs(0));
  ordered.CheckLogged(1, "rollout_ordered");
}

// Guards against an order that is in force for good although the operator does not write it again.
TEST(RestoredOrders, AnEarlierOrderOfTheCopyAppliesUnlessTheLaterOneIsWrittenAgain) {
  OrderedFleet ordered;
  ordered.Order("v1", 5);
  CHECK(ordered.Reaches("done"));
  ordered.fleet().CopyStore();
  UseRevisions(ordered.fleet());
  ordered.Order("v3", 30);
  CHECK(ordered.Reaches("running"));
  ordered.fleet().RestoreStore(kAway);
  CHECK(Eventually([&]() { return ordered.fleet().AllGatewaysLogged("\"rollout_superseded\""); },
                   kRestoreGrace + kOrderStandsFor));
  CHECK(ordered.Reaches("done"));
  ordered.CheckLogged(1, "rollout_ordered");
}

// Guards against a rollout in progress that ends, because the copy lacks its order, before the
// operator has written the order again.
TEST(RestoredOrders, ARolloutInProgressThatTheCopyLacksGoesOn) {
  OrderedFleet ordered;
  ordered.fleet().CopyStore();
  UseRevisions(ordered.fleet());
  ordered.Order("v2", 5);
  CHECK(ordered.Reaches("running"));
  ordered.fleet().RestoreStore(kAway);
  SleepMillis(ToMillis(kAway + kWrittenAgainAfter));
  ordered.Order("v2", 5);
  SleepMillis(ToMillis(kOrderStandsFor - kWrittenAgainAfter));
  CHECK_FALSE(ordered.State() == "reverted");
  ordered.CheckLogged(0, "rollout_removed");
  CHECK(ordered.Reaches("done"));
  ordered.CheckLogged(1, "rollout_ordered");
}

}  // namespace fuchsiaweir::testing
