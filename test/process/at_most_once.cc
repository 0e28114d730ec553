#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <csignal>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include "core/claim.h"
#include "core/run_message.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

const HttpHeaders kAlphaHeaders = {{"Authorization", "Bearer key-alpha"}};
constexpr std::string_view kClaimsFolder = "claims/";

Deployment::Options TwoEntries() {
  Deployment::Options options;
  options.entries = 2;
  return options;
}

std::string ErrorField(const Reply& reply, const char* name) {
  const boost::json::object body = reply.json();
  if (!body.contains("error")) return "";
  return std::string(body.at("error").at(name).as_string());
}

std::string RunStateOf(const Reply& reply) {
  return reply.status == 200 ? "ran" : ErrorField(reply, "run_state");
}

/// Returns the number of the replica that executed the body, or -1.
int ReplicaThatRan(Deployment& deployment, const std::string& body) {
  for (int i = 0; i < 2; ++i) {
    const Reply record = Send("GET", deployment.port(absl::StrCat("service", i)), "/executions");
    if (absl::StrContains(record.body, body)) return i;
  }
  return -1;
}

/// Repeatedly writes the object that contains a key's claim, so that agents get write conflicts.
class Contender {
 public:
  Contender(Deployment& deployment, const std::string& key)
      : thread_([&deployment, key, this]() {
          const std::string object =
              ClaimShardName(ClaimId("alpha", key)).substr(kClaimsFolder.size());
          const std::string target = "/objects/claims%2F" + object;
          while (!stop_) {
            const Reply read = Send("GET", deployment.port("platform"), target);
            if (read.status != 200) continue;
            const boost::json::object value = read.json();
            const int64_t version = value.at("version").to_number<int64_t>();
            Send("PUT", deployment.port("platform"), absl::StrCat(target, "?expect=", version),
                 std::string(value.at("value").as_string()));
          }
        }) {}
  ~Contender() {
    stop_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

/// Sends a booking to an agent directly, like an entry that routes the key to this agent's replica.
Reply CallAgent(Deployment& deployment, int agent, const std::string& key,
                const std::string& body) {
  ServiceCall call;
  call.team = "alpha";
  call.service = "booking";
  call.replica = absl::StrCat("booking", agent);
  call.method = "POST";
  call.path = "/book";
  call.body = body;
  call.idempotency_key = key;
  call.non_idempotent = true;
  call.deadline_ms = 10'000;
  return Send("POST", deployment.port(absl::StrCat("agent", agent)), "/internal/v1/calls",
              EncodeServiceCall(call));
}

/// Sends the same booking concurrently through both entries and to both agents.
std::vector<Reply> BookConcurrently(Deployment& deployment, const std::string& key,
                                    const std::string& body, int callers) {
  std::vector<Reply> replies(callers);
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&deployment, &replies, &key, &body, i]() {
      replies[i] = i % 4 < 2 ? deployment.Book(key, body, absl::StrCat("entry", i % 2))
                             : CallAgent(deployment, i % 2, key, body);
    });
  }
  for (std::thread& thread : threads) thread.join();
  return replies;
}

/// Returns the service's response body from a reply of an entry or an agent.
std::string ServiceBody(const Reply& reply) {
  const boost::json::object body = reply.json();
  return body.contains("replayed") ? std::string(body.at("body").as_string()) : reply.body;
}

}  // namespace

TEST_GROUP(AtMostOnce){};

// Guards against a second execution when duplicates arrive through two entries while platform
// responses are lost and writes conflict, and against run state not_run for a key that ran.
TEST(AtMostOnce, DuplicatesRunOnceWhenThePlatformMisbehaves) {
  Deployment deployment(TwoEntries());
  deployment.Start();
  int executed = 0;
  for (int round = 0; round < 6; ++round) {
    const std::string key = absl::StrCat("storm-", round);
    const std::string body = absl::StrCat("storm body ", round);
    deployment.InjectFault("platform", R"({"lose_answers":3,"delay_ms":5})");
    const Contender contender(deployment, key);
    std::set<std::string> states;
    std::set<std::string> bodies;
    for (const Reply& reply : BookConcurrently(deployment, key, body, 12)) {
      states.insert(RunStateOf(reply));
      if (reply.status == 200) bodies.insert(ServiceBody(reply));
    }
    const int count = deployment.Executions(body);
    CHECK(count <= 1);
    CHECK(bodies.size() <= 1);
    const bool may_have_run = states.contains("ran") || states.contains("unknown");
    CHECK(count == 0 || may_have_run);
    executed += count;
  }
  CHECK(executed > 0);
}

// Guards against a second execution, by the restarted agent or another one, after an agent was
// killed between claim and response.
TEST(AtMostOnce, AgentKilledBetweenClaimAndAnswer) {
  Deployment deployment(TwoEntries());
  deployment.Start();
  for (const char* service : {"service0", "service1"}) {
    deployment.InjectFault(service, R"({"delay_ms":2000})");
  }
  Reply first;
  std::jthread caller([&]() { first = deployment.Book("killed", "killed body"); });
  CHECK(Eventually([&]() { return deployment.Executions("killed body") == 1; }));
  const std::string agent = absl::StrCat("agent", ReplicaThatRan(deployment, "killed body"));
  deployment.Signal(agent, SIGKILL);
  caller.join();
  STRCMP_EQUAL("unknown", RunStateOf(first).c_str());
  STRCMP_EQUAL("unknown", RunStateOf(deployment.Book("killed", "killed body")).c_str());
  deployment.Restart(agent);
  CHECK(Eventually([&]() { return deployment.AllReady(); }));
  for (const Reply& reply : BookConcurrently(deployment, "killed", "killed body", 6)) {
    STRCMP_EQUAL("unknown", RunStateOf(reply).c_str());
  }
  LONGS_EQUAL(1, deployment.Executions("killed body"));
}

// Guards against a second dispatch after the service's response was lost, with and without a key.
TEST(AtMostOnce, LostServiceAnswerIsUnknownAndNotRepeated) {
  Deployment deployment;
  deployment.Start();
  const auto lose_responses = [&](int count) {
    for (const char* service : {"service0", "service1"}) {
      deployment.InjectFault(service, absl::StrCat("{\"lose_answers\":", count, "}"));
    }
  };
  lose_responses(1);
  STRCMP_EQUAL("unknown", RunStateOf(deployment.Book("lost", "with key")).c_str());
  lose_responses(1);
  const Reply keyless = Send("POST", deployment.port("entry0"), "/v1/services/booking/book",
                             "without key", kAlphaHeaders);
  STRCMP_EQUAL("unknown", RunStateOf(keyless).c_str());
  lose_responses(0);
  STRCMP_EQUAL("in_progress", ErrorField(deployment.Book("lost", "with key"), "code").c_str());
  LONGS_EQUAL(1, deployment.Executions("with key"));
  LONGS_EQUAL(1, deployment.Executions("without key"));
}

// Guards against failing an idempotent call that another replica could serve.
TEST(AtMostOnce, IdempotentCallIsRetriedOnAnotherReplica) {
  Deployment deployment;
  deployment.Start();
  for (const char* service : {"service0", "service1"}) {
    deployment.InjectFault(service, R"({"lose_answers":1})");
    const Reply reply =
        Send("GET", deployment.port("entry0"), "/v1/services/booking/seats", "", kAlphaHeaders);
    LONGS_EQUAL(200, reply.status);
    deployment.InjectFault(service, R"({"lose_answers":0})");
  }
  // Two delivered responses, and the lost one of the first replica.
  LONGS_EQUAL(3, deployment.Executions("/seats "));
}

// Guards against a booking that runs without a claim while the platform is down.
TEST(AtMostOnce, PlatformDownRefusesWithoutRunning) {
  Deployment deployment;
  deployment.Start();
  deployment.InjectFault("platform", R"({"down":true})");
  const Reply refused = deployment.Book("down", "down body");
  STRCMP_EQUAL("not_run", RunStateOf(refused).c_str());
  STRCMP_EQUAL("platform_unavailable", ErrorField(refused, "code").c_str());
  LONGS_EQUAL(0, deployment.Executions("down body"));
  deployment.InjectFault("platform", R"({"down":false})");
  CHECK(Eventually([&]() { return deployment.Book("down", "down body").status == 200; }));
  LONGS_EQUAL(1, deployment.Executions("down body"));
}

// Guards against replaying another request's outcome, and against running an expired key again.
TEST(AtMostOnce, ReusedAndExpiredKeysAreRefused) {
  Deployment deployment;
  deployment.Start();
  const Reply first = deployment.Book("same key", "first body");
  const Reply again = deployment.Book("same key", "first body");
  STRCMP_EQUAL(first.body.c_str(), again.body.c_str());
  STRCMP_EQUAL("true", HeaderValue(again.headers, "Idempotent-Replayed").c_str());
  STRCMP_EQUAL("application/json", HeaderValue(again.headers, "Content-Type").c_str());
  const Reply reused = deployment.Book("same key", "second body");
  STRCMP_EQUAL("key_reused", ErrorField(reused, "code").c_str());
  STRCMP_EQUAL("not_run", RunStateOf(reused).c_str());
  const Reply expired = deployment.Book("01938f00-1234-7abc-8def-0123456789ab", "old body");
  STRCMP_EQUAL("key_expired", ErrorField(expired, "code").c_str());
  LONGS_EQUAL(1, deployment.Executions("first body"));
  LONGS_EQUAL(0, deployment.Executions("second body"));
  LONGS_EQUAL(0, deployment.Executions("old body"));
}

// Guards against an agent that refuses a key for ever because it cached the claim before the
// outcome was recorded.
TEST(AtMostOnce, OutcomeRecordedByAnotherAgentIsReplayed) {
  Deployment deployment;
  deployment.Start();
  deployment.InjectFault("service0", R"({"delay_ms":1000})");
  Reply first;
  std::jthread caller([&]() { first = CallAgent(deployment, 0, "moved", "direct"); });
  CHECK(Eventually([&]() { return deployment.Executions("direct") == 1; }));
  STRCMP_EQUAL("unknown", RunStateOf(CallAgent(deployment, 1, "moved", "direct")).c_str());
  caller.join();
  LONGS_EQUAL(200, first.status);
  CHECK(Eventually([&]() { return CallAgent(deployment, 1, "moved", "direct").status == 200; },
                   Seconds(3)));
  LONGS_EQUAL(1, deployment.Executions("direct"));
}

// Guards against an entry that times out before its agent, which would lose the agent's response.
TEST(AtMostOnce, EntryWaitsLongerThanItsAgent) {
  Deployment::Options options;
  options.rules = "request_deadline_ms = 1000\n";
  Deployment deployment(options);
  deployment.Start();
  for (const char* service : {"service0", "service1"}) {
    deployment.InjectFault(service, R"({"delay_ms":4000})");
  }
  const Reply reply = deployment.Book("slow", "slow body");
  STRCMP_EQUAL("unknown", RunStateOf(reply).c_str());
  const int replica = ReplicaThatRan(deployment, "slow body");
  const int port = deployment.port(absl::StrCat("service", replica));
  // The message contains the address that the agent called, so the response came from the agent.
  CHECK(absl::StrContains(ErrorField(reply, "message"), absl::StrCat(":", port)));
  LONGS_EQUAL(1, deployment.Executions("slow body"));
}

}  // namespace fuchsiaweir::testing
