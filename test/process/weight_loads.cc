#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

std::string WithVersion(const Deployment& deployment, const std::string& version) {
  return absl::StrReplaceAll(deployment.inventory(), {{"version = v1", "version = " + version}});
}

std::string VersionOf(Deployment& deployment, const std::string& engine) {
  const boost::json::object load = Send("GET", deployment.port(engine), "/v1/load").json();
  return load.contains("version") ? std::string(load.at("version").as_string()) : "";
}

int64_t OrdersOf(Deployment& deployment, const std::string& engine) {
  return deployment.Stats(engine).at("orders").as_int64();
}

/// Returns the holder of runner0's order lease, or "".
std::string LeaseHolder(Deployment& deployment) {
  const Reply reply = Send("GET", deployment.port("platform"), "/objects/leases%2Frunner0");
  if (reply.status != 200) return "";
  const std::string text(reply.json().at("value").as_string());
  return std::string(boost::json::parse(text).at("holder").as_string());
}

/// Starts a second agent for the host of agent0 on another port.
void StartSecondAgent(Deployment& deployment, int port) {
  std::ifstream file(deployment.directory() + "/agent0.ini");
  std::stringstream settings;
  settings << file.rdbuf();
  const std::string own = absl::StrCat("listen_port = ", deployment.port("agent0"), "\n");
  const std::string path = deployment.directory() + "/twin.ini";
  std::ofstream(path) << absl::StrReplaceAll(settings.str(),
                                             {{own, absl::StrCat("listen_port = ", port, "\n")}});
  deployment.StartProcess("twin", {std::getenv("FW_BINARY"), "agent", "--settings=" + path});
}

}  // namespace

TEST_GROUP(WeightLoads){};

// Guards against more than two concurrent weight loads in the fleet, and against requests that fail
// while the platform is down.
TEST(WeightLoads, AtMostTwoAtOnce) {
  Deployment::Options options;
  options.agents = 5;
  options.weight_store = true;
  Deployment deployment(options);
  deployment.Start();
  deployment.Apply(WithVersion(deployment, "v2"));
  CHECK(Eventually(
      [&]() {
        for (int i = 0; i < options.agents; ++i) {
          if (VersionOf(deployment, absl::StrCat("engine", i)) != "v2") return false;
        }
        return true;
      },
      Seconds(60)));
  const boost::json::object stats = deployment.Stats("platform");
  LONGS_EQUAL(2, stats.at("max_concurrent_loads").as_int64());
  LONGS_EQUAL(options.agents, stats.at("weight_loads").as_int64());
  deployment.InjectFault("platform", R"({"down":true})");
  LONGS_EQUAL(200, deployment.Complete(MakePrompt(20, 1), 4).status);
}

// Guards against a load order from an agent that was paused while another agent took over its
// lease. The engine does not check fencing tokens.
TEST(WeightLoads, PausedAgentDoesNotOrder) {
  Deployment::Options options;
  options.agents = 1;
  options.rules = "order_lease_ms = 2000\n";
  options.engine_flags = {"--checks_fence=false"};
  Deployment deployment(options);
  const std::string runner = "[runner runner0]\n";
  deployment.Start();
  const int port = deployment.port("agent0");
  const int second_port = FreePort();
  const std::string first = absl::StrCat("agent0:", port);
  const std::string second = absl::StrCat("agent0:", second_port);

  std::string inventory = WithVersion(deployment, "v2");
  inventory.insert(inventory.find(runner) + runner.size(), "checks_fence = no\n");
  deployment.Apply(inventory);
  CHECK(Eventually([&]() { return LeaseHolder(deployment) == first; }));
  deployment.Signal("agent0", SIGSTOP);
  LONGS_EQUAL(0, OrdersOf(deployment, "engine0"));
  StartSecondAgent(deployment, second_port);
  CHECK(Eventually([&]() { return LeaseHolder(deployment) == second; }));
  deployment.Signal("agent0", SIGCONT);
  // Within this time, the paused agent's wait before its first order ends, but its successor's does
  // not.
  CHECK_FALSE(Eventually([&]() { return OrdersOf(deployment, "engine0") > 0; }, Seconds(3)));
  CHECK(Eventually([&]() { return VersionOf(deployment, "engine0") == "v2"; }));
  LONGS_EQUAL(1, OrdersOf(deployment, "engine0"));
}

}  // namespace fuchsiaweir::testing
