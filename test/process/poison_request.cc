#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kAgents = 4;
constexpr char kPoison[] = "poison";

Deployment::Options FourAgents() {
  Deployment::Options options;
  options.agents = kAgents;
  options.entries = 2;
  return options;
}

std::string EngineName(int i) { return "engine" + std::to_string(i); }

std::string CodeOf(const Reply& reply) {
  const boost::json::object body = reply.json();
  if (!body.contains("error")) return "";
  return std::string(body.at("error").at("code").as_string());
}

}  // namespace

TEST_GROUP(PoisonRequest) {
  Deployment deployment{FourAgents()};

  void setup() override {
    deployment.Start();
    for (int i = 0; i < kAgents; ++i) {
      deployment.InjectFault(EngineName(i), R"({"crash_on":"poison"})");
    }
  }

  int CrashedEngines() {
    int crashed = 0;
    for (int i = 0; i < kAgents; ++i) {
      if (Send("GET", deployment.port(EngineName(i)), "/stats").status != 200) ++crashed;
    }
    return crashed;
  }
};

// Guards against a request that crashes one runner after the other, also when its caller retries it
// through another entry.
TEST(PoisonRequest, ReachesAtMostTwoTargets) {
  const Reply first = deployment.Complete(kPoison, 4);
  STRCMP_EQUAL("poisoned", CodeOf(first).c_str());
  LONGS_EQUAL(2, CrashedEngines());
  for (const char* entry : {"entry0", "entry1", "entry0", "entry1"}) {
    STRCMP_EQUAL("poisoned", CodeOf(deployment.Complete(kPoison, 4, entry)).c_str());
  }
  LONGS_EQUAL(2, CrashedEngines());
  LONGS_EQUAL(200, deployment.Complete(MakePrompt(10, 1), 4).status);
}

// Guards against crash records that reach the other entries only through the platform.
TEST(PoisonRequest, StaysRefusedWhileThePlatformIsDown) {
  deployment.InjectFault("platform", R"({"down":true})");
  deployment.Complete(kPoison, 4, "entry0");
  CHECK(Eventually(
      [&]() { return CodeOf(deployment.Complete(kPoison, 4, "entry1")) == "poisoned"; }));
  LONGS_EQUAL(2, CrashedEngines());
}

// Guards against clearing a suspect request whose caller disconnected before it completed.
TEST(PoisonRequest, StaysSuspectWhenItsCallerLeaves) {
  // Longer than a block, so that it has one home runner. The runners crash on one of its words.
  const std::string prompt = MakePrompt(60, 7);
  constexpr char kCrashOnPrompt[] = R"({"crash_on":"w7x3"})";
  const auto started = [&](int i) {
    return deployment.Stats(EngineName(i)).at("started").as_int64();
  };
  LONGS_EQUAL(200, deployment.Complete(prompt, 1).status);
  int home = 0;
  while (started(home) == 0) ++home;
  deployment.InjectFault(EngineName(home), kCrashOnPrompt);
  const boost::json::object body{{"model", "model"}, {"prompt", prompt}, {"max_tokens", 5'000}};
  Send("POST", deployment.port("entry0"), "/v1/completions", boost::json::serialize(body),
       {{"Authorization", "Bearer key-alpha"}}, Millis(1'500));
  LONGS_EQUAL(1, CrashedEngines());
  for (int i = 0; i < kAgents; ++i) {
    if (i != home) deployment.InjectFault(EngineName(i), kCrashOnPrompt);
  }
  STRCMP_EQUAL("poisoned", CodeOf(deployment.Complete(prompt, 4)).c_str());
  LONGS_EQUAL(2, CrashedEngines());
}

// Guards against refused or truncated requests on a runner that another request crashed.
TEST(PoisonRequest, BystandersComplete) {
  Reply replies[8];
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < 8; ++i) {
      callers.emplace_back([&, i]() { replies[i] = deployment.Complete(MakePrompt(10, i), 200); });
    }
    CHECK(Eventually([&]() {
      int64_t started = 0;
      for (int i = 0; i < kAgents; ++i) {
        started += deployment.Stats(EngineName(i)).at("started").as_int64();
      }
      return started >= 2;
    }));
    deployment.Complete(kPoison, 4);
    // Restarts the crashed engines, as the platform does.
    for (int i = 0; i < kAgents; ++i) {
      if (Send("GET", deployment.port(EngineName(i)), "/stats").status != 200) {
        deployment.Restart(EngineName(i));
      }
    }
  }
  for (const Reply& reply : replies) {
    LONGS_EQUAL(200, reply.status);
    LONGS_EQUAL(200, reply.json().at("usage").at("completion_tokens").as_int64());
  }
}

}  // namespace fuchsiaweir::testing
