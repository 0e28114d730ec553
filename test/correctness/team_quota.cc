#include "core/team_quota.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "property.h"

namespace fuchsiaweir {
namespace {

Team MakeTeam(const std::string& name, int64_t max_concurrent, int64_t tokens_per_second) {
  return {name, {}, 1, max_concurrent, tokens_per_second};
}

}  // namespace

TEST_GROUP(TeamQuota){};

// Guards against a team that exceeds its rate or concurrency limit, or whose limit is used up by
// another team.
TEST(TeamQuota, TeamsStayWithinTheirOwnLimits) {
  CheckProperty("running <= limit; tokens <= burst + rate x time + one request", [] {
    TeamQuota quota;
    quota.Configure({MakeTeam("a", 3, 1000), MakeTeam("b", 3, 1000)}, 1);
    TimePoint now{Seconds(5)};
    std::map<std::string, double> admitted;
    std::map<std::string, int64_t> running;
    for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100))) {
      now += Millis(step);
      // Team b sends requests rarely and must never be refused because of team a.
      const bool rare = step == 99;
      const std::string team = rare ? "b" : "a";
      if (step % 3 == 0 && running["a"] > 0) {
        quota.Release("a");
        --running["a"];
      }
      const auto error = quota.Admit(team, step * 10, now);
      if (rare) RC_ASSERT(!error);
      if (rare) quota.Release("b");
      if (!error && !rare) ++running["a"];
      if (!error) admitted[team] += step * 10;
      RC_ASSERT(quota.Running("a") == running["a"]);
      RC_ASSERT(quota.Running("a") <= 3);
      RC_ASSERT(admitted["a"] <= 2000 + 1000 * ToSeconds(now - TimePoint(Seconds(5))) + 990);
      if (error) RC_ASSERT(error->run_state == RunState::kNotRun);
      if (error) RC_ASSERT(error->retry_after > Duration(0));
    }
  });
}

// Guards against a large request that is never admitted and against a wrong retry delay.
TEST(TeamQuota, LargeRequestIsAdmittedAndDelaysLaterOnes) {
  TeamQuota quota;
  quota.Configure({MakeTeam("a", 10, 1000)}, 1);
  const TimePoint start{Seconds(5)};
  CHECK(!quota.Admit("a", 12'000, start));
  const auto error = quota.Admit("a", 1, start);
  LONGS_EQUAL(10'000, ToMillis(error->retry_after));
  CHECK(quota.Admit("a", 1, start + error->retry_after - Millis(1)).has_value());
  CHECK(!quota.Admit("a", 1, start + error->retry_after + Millis(1)));
}

// Guards against limits that are multiplied by the number of entry processes, and against a change
// of the configuration that loses the count of requests in progress.
TEST(TeamQuota, ConfigurationChangesKeepTheCount) {
  TeamQuota quota;
  quota.Configure({MakeTeam("a", 8, 1000)}, 4);
  const TimePoint now{Seconds(5)};
  CHECK(!quota.Admit("a", 1, now));
  CHECK(!quota.Admit("a", 1, now));
  CHECK(quota.Admit("a", 1, now).has_value());
  quota.Configure({}, 4);
  CHECK(quota.Admit("a", 1, now)->code == ErrorCode::kUnauthorized);
  LONGS_EQUAL(2, quota.Running("a"));
  quota.Configure({MakeTeam("a", 12, 1000)}, 4);
  CHECK(!quota.Admit("a", 1, now));
  CHECK(quota.Admit("a", 1, now).has_value());
}

}  // namespace fuchsiaweir
