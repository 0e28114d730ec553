#include "core/claim.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <set>

#include "choices.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr int64_t kLifetimeMs = 1000;
constexpr int64_t kClockErrorMs = 50;
// Exceeds kClockErrorMs: a wrong clock must not let a key run twice either.
constexpr int kMaxClockLagMs = 300;

struct Write {
  int64_t if_version = 0;
  std::string body;
};

// Model of a platform with one object, a service and two agents. A write whose response is lost may
// take effect immediately, later or never.
struct World {
  explicit World(uint32_t seed) : choices(seed) {}

  Choices choices;
  int64_t now = 1'000'000;
  int64_t version = 0;
  std::string body;
  std::vector<Write> delayed;
  std::array<std::optional<ClaimWriter>, 2> agents;
  int64_t last_ticket = 0;
  int replays = 0;
  std::map<int64_t, std::string> ids;                  // By ticket.
  std::map<int64_t, std::string> nonces;               // By ticket.
  std::map<std::string, int> executions;               // By claim id.
  std::map<std::string, std::string> executed_digest;  // By claim id.
  std::map<int64_t, std::string> digests;              // By ticket.
  std::set<int64_t> not_run, executed;

  ClaimWriter& Agent(int index) {
    if (!agents[index]) {
      agents[index].emplace(
          ClaimRules{.lifetime_ms = kLifetimeMs, .clock_error_ms = kClockErrorMs});
    }
    return *agents[index];
  }

  bool Apply(const Write& write) {
    if (write.if_version != version) return false;
    ++version;
    body = write.body;
    return true;
  }

  void Propose(ClaimWriter& agent) {
    const int key = choices.Below(3);
    const int64_t key_time = 1'000'000 + key * 400;
    const std::string id = "key" + std::to_string(key);
    const int64_t ticket = ++last_ticket;
    ids[ticket] = id;
    digests[ticket] = choices.OneIn(5) ? "other" : "body";
    nonces[ticket] = "n" + std::to_string(ticket);
    agent.Propose({ticket, id, nonces[ticket], digests[ticket], key_time});
  }

  void Step(ClaimWriter& agent) {
    const ClaimStep step = agent.Next(now - choices.Below(kMaxClockLagMs));
    const int fault = choices.Below(6);
    if (step == ClaimStep::kRead) {
      if (fault == 0) return agent.ReadFailed();
      agent.ReadDone(version, body);
    } else if (step == ClaimStep::kWrite) {
      const Write write{agent.version(), agent.body()};
      if (fault == 0) return agent.WriteEnded(PlatformOutcome::kNotDone, 0);
      if (fault == 1) delayed.push_back(write);
      if (fault == 2) Apply(write);
      if (fault <= 2) return agent.WriteEnded(PlatformOutcome::kUnknown, 0);
      const bool done = Apply(write);
      agent.WriteEnded(done ? PlatformOutcome::kDone : PlatformOutcome::kConflict, version);
    }
  }

  void HandleVerdicts(ClaimWriter& agent) {
    for (const ClaimVerdict& verdict : agent.TakeVerdicts()) {
      const std::string& id = ids[verdict.ticket];
      if (verdict.refusal) {
        const Error& error = *verdict.refusal;
        const bool may_have_run =
            error.code == ErrorCode::kInProgress || error.code == ErrorCode::kKeyExpired;
        RC_ASSERT(may_have_run == (error.run_state == RunState::kUnknown));
        if (!may_have_run) not_run.insert(verdict.ticket);
      } else if (verdict.replay) {
        ++replays;
        RC_ASSERT(executions[id] == 1);
        RC_ASSERT(verdict.replay->body == "answer to " + id);
        RC_ASSERT(executed_digest[id] == digests[verdict.ticket]);
      } else if (choices.OneIn(4)) {
        agent.Release(nonces[verdict.ticket]);
        not_run.insert(verdict.ticket);
      } else {
        RC_ASSERT(++executions[id] == 1);
        executed_digest[id] = digests[verdict.ticket];
        executed.insert(verdict.ticket);
        agent.RecordOutcome(nonces[verdict.ticket], {200, "answer to " + id, "text/plain"});
      }
      for (const int64_t ticket : executed) RC_ASSERT(!not_run.contains(ticket));
    }
  }
};

}  // namespace

TEST_GROUP(Claim){};

// Guards against a second execution of a key after lost responses, late writes, conflicts between
// agents, crashes or expiry, and against reporting not_run for a call that ran.
TEST(Claim, KeyRunsAtMostOnce) {
  int executions = 0;
  int replays = 0;
  CheckProperty("at most one execution per key", [&](uint32_t seed) {
    World world(seed);
    for (int step = 0; step < 200; ++step) {
      const int index = world.choices.Below(2);
      ClaimWriter& agent = world.Agent(index);
      const int choice = world.choices.Below(12);
      if (choice < 3) world.Propose(agent);
      if (choice >= 3 && choice < 10) world.Step(agent);
      if (choice == 10) world.now += world.choices.Below(200);
      if (choice == 11 && !world.delayed.empty()) {
        world.Apply(world.delayed.back());
        world.delayed.pop_back();
      }
      world.HandleVerdicts(agent);
      if (world.choices.OneIn(25)) world.agents[index].reset();
    }
    executions += static_cast<int>(world.executions.size());
    replays += world.replays;
  });
  // Without these a writer that refuses every proposal would pass.
  CHECK(executions > 200);
  CHECK(replays > 200);
}

// Guards against a shard above the platform's size limit, and against a codec that loses fields.
TEST(Claim, ShardStaysBelowItsLimit) {
  ClaimWriter writer(ClaimRules{.max_shard_bytes = 2'000});
  int dispatched = 0;
  int refused = 0;
  writer.ReadDone(0, "");
  for (int i = 0; i < 100; ++i) {
    const std::string name = std::to_string(i);
    writer.Propose({i, "id" + name, "n" + name, "d", 1'000});
    for (int round = 0; round < 2 && writer.Next(1'000) == ClaimStep::kWrite; ++round) {
      CHECK(writer.body().size() <= 2'000);
      writer.WriteEnded(PlatformOutcome::kDone, writer.version() + 1);
      CHECK(EncodeClaimShard(DecodeClaimShard(writer.body()).value()) == writer.body());
      for (const ClaimVerdict& verdict : writer.TakeVerdicts()) {
        dispatched += verdict.refusal ? 0 : 1;
        if (!verdict.refusal) writer.RecordOutcome("n" + name, {200, std::string(300, '\x01'), ""});
      }
    }
    for (const ClaimVerdict& verdict : writer.TakeVerdicts()) {
      CHECK(verdict.refusal->run_state == RunState::kNotRun);
      ++refused;
    }
  }
  CHECK(dispatched > 10);
  CHECK_EQUAL(100, dispatched + refused);
}

// Guards against a status that is not one of HTTP and that every repeat of the call gets: an
// earlier version recorded it. The claim has to stay, since the call may have run.
TEST(Claim, ARecordedInvalidStatusIsNoOutcome) {
  for (const int64_t status : {0, 199, 600, 65'736}) {
    ClaimShard shard;
    shard.claims["id"] = {"d", "n", 1'000, ClaimOutcome{status, "whole", "text/plain"}};
    const ClaimShard decoded = DecodeClaimShard(EncodeClaimShard(shard)).value();
    CHECK(decoded.claims.at("id").nonce == "n");
    CHECK_FALSE(decoded.claims.at("id").outcome.has_value());
  }
}

// Guards against a key without a timestamp, which would run again after its claim is removed.
TEST(Claim, OnlyKeysWithATimestampAreAccepted) {
  CHECK_EQUAL(0x0193'8f00'1234, IdempotencyKeyTime("01938f00-1234-7abc-8def-0123456789ab").value());
  CHECK_FALSE(IdempotencyKeyTime("01938f00-1234-4abc-8def-0123456789ab").has_value());
  CHECK_FALSE(IdempotencyKeyTime("booking-1").has_value());
}

}  // namespace fuchsiaweir
