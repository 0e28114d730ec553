#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "core/rendezvous.h"
#include "core/watcher_choice.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

Deployment::Options EightProcessesPerDataCentre() {
  Deployment::Options options;
  options.agents = 14;  // With 6 watchers in each data centre, two processes of each poll.
  options.entries = 2;
  return options;
}

/// Returns the watcher that the process of "east" that does not watch polls first.
std::string FirstPollTarget(Deployment& deployment) {
  std::vector<ListedHost> hosts;
  for (const std::string& name : deployment.Daemons()) {
    hosts.push_back({name, std::stoi(name.substr(5)) % 2 == 0 ? "east" : "west", false});
  }
  const auto poller = std::find_if(hosts.begin(), hosts.end(), [&](const ListedHost& host) {
    return host.data_centre == "east" && !ShouldWatch(hosts, "east", host.name, &RendezvousScore);
  });
  return PollTargets(hosts, "east", poller->name, &RendezvousScore).front();
}

int64_t AuditRecords(Deployment& deployment) {
  std::string output;
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"audit"}, &output));
  return std::count(output.begin(), output.end(), '\n');
}

}  // namespace

TEST_GROUP(Configuration){};

// Guards against a change that does not reach the processes that do not watch the platform, and
// against processes that watch it although others of their data centre do.
TEST(Configuration, ReachesAllProcessesThroughAFewWatchers) {
  Deployment deployment(EightProcessesPerDataCentre());
  deployment.Start();
  deployment.PublishHostList();
  CHECK(Eventually([&]() { return deployment.Stats("platform").at("waiting").as_int64() == 12; }));
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "host", "agent0", "--who=test"}));
  CHECK(Eventually([&]() { return deployment.AllAtRevision(2); }, Seconds(10)));
  LONGS_EQUAL(12, deployment.Stats("platform").at("waiting").as_int64());
}

// Guards against a process that waits for a watcher that went silent: its connection stays open.
TEST(Configuration, ReachesAProcessWhoseWatcherIsSilent) {
  Deployment deployment(EightProcessesPerDataCentre());
  deployment.Start();
  deployment.PublishHostList();
  CHECK(Eventually([&]() { return deployment.Stats("platform").at("waiting").as_int64() == 12; }));
  const std::string silent = FirstPollTarget(deployment);
  deployment.Signal(silent, SIGSTOP);
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "host", "agent0", "--who=test"}));
  CHECK(Eventually(
      [&]() {
        const std::vector<std::string> names = deployment.Daemons();
        return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
          return name == silent || deployment.Revision(name) == 2;
        });
      },
      Seconds(10)));
}

// Guards against an accepted change that a racing operator overwrites.
TEST(Configuration, GivesOneOfTwoRacingOperatorsAConflict) {
  Deployment deployment;
  deployment.Start();
  // The pause lets both operators read the same revision before either writes.
  deployment.InjectFault("platform", R"({"delay_ms":300})");
  std::vector<int> codes(2);
  std::vector<std::thread> operators;
  for (int i = 0; i < 2; ++i) {
    operators.emplace_back([&, i]() {
      codes[i] = deployment.RunPlatformCommand(
          {"drain", "host", "agent" + std::to_string(i), "--who=test"});
    });
  }
  for (std::thread& thread : operators) thread.join();
  deployment.InjectFault("platform", R"({"delay_ms":0})");
  LONGS_EQUAL(0, std::min(codes[0], codes[1]));
  LONGS_EQUAL(3, std::max(codes[0], codes[1]));
  const std::string loser = codes[0] == 3 ? "agent0" : "agent1";
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "host", loser, "--who=test", "--wait"}));
  for (const char* agent : {"agent0", "agent1"}) {
    STRCMP_EQUAL("host_out", deployment.Status(agent).at("state").as_string().c_str());
  }
  LONGS_EQUAL(3, AuditRecords(deployment));
}

// Guards against a file that overwrites changes made since its author read the configuration.
TEST(Configuration, RefusesAFileThatIsBasedOnAnOlderRevision) {
  Deployment deployment;
  deployment.Start();
  const std::string file = deployment.directory() + "/shown.ini";
  const auto show = [&]() {
    std::string shown;
    LONGS_EQUAL(0, deployment.RunPlatformCommand({"show"}, &shown));
    std::ofstream(file) << shown << "; edited\n";
  };
  show();
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "dc", "west", "--who=test"}));
  LONGS_EQUAL(3, deployment.RunPlatformCommand({"apply", file, "--who=test"}));
  show();
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"apply", file, "--who=test"}));
  LONGS_EQUAL(3, AuditRecords(deployment));
}

// Guards against an operator who is told that a change failed, or who makes it twice, when the
// write took effect and its answer was lost.
TEST(Configuration, SettlesAChangeWhoseAnswerWasLost) {
  Deployment deployment;
  deployment.Start();
  deployment.InjectFault("platform", R"({"lose_answers":1})");
  std::string output;
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "dc", "east", "--who=test"}, &output));
  STRCMP_CONTAINS("revision 2 accepted", output.c_str());
  LONGS_EQUAL(2, AuditRecords(deployment));
}

// Guards against a process that goes back to an older revision, while it runs or by a restart.
TEST(Configuration, NeverRevertsWhenThePlatformAnswersWithAnOlderObject) {
  Deployment deployment;
  deployment.Start();
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "dc", "east", "--who=test", "--wait"}));
  deployment.InjectFault("platform", R"({"stale":true})");
  deployment.Restart("agent0");
  const TimePoint end = SteadyNow() + Seconds(2);
  while (SteadyNow() < end) {
    for (const std::string& daemon : deployment.Daemons()) {
      CHECK(deployment.Revision(daemon) != 1);
    }
  }
  CHECK(deployment.AllAtRevision(2));
}

// Guards against a process that stays behind although its own messages show a newer revision. The
// watches show the old object, so that only the restarted process reads the new one.
TEST(Configuration, SpreadsWithTheMessagesBetweenProcesses) {
  for (const char* informed : {"entry0", "agent0"}) {
    Deployment deployment;
    deployment.Start();
    deployment.InjectFault("platform", R"({"stale_watches":true})");
    deployment.Apply(deployment.inventory() + "; another revision\n");
    deployment.Restart(informed);
    int prompt = 0;
    CHECK(Eventually([&]() {
      deployment.Complete(MakePrompt(10, ++prompt), 1);
      return deployment.AllAtRevision(2);
    }));
  }
}

// Guards against a host list that is sent again with every poll: 20 KB at 340 hosts.
TEST(Configuration, ReadsAnUnchangedHostListConditionally) {
  Deployment deployment;
  deployment.Start();
  const int64_t daemons = static_cast<int64_t>(deployment.Daemons().size());
  const auto stat = [&](const char* name) {
    return deployment.Stats("platform").at(name).as_int64();
  };
  CHECK(Eventually([&]() { return stat("host_reads") >= 3 * daemons; }));
  LONGS_EQUAL(daemons, stat("hosts_sent"));
}

// Guards against a shutdown that waits for the polls of other processes.
TEST(Configuration, RefusesWaitingPollsAtShutdown) {
  Deployment deployment;
  deployment.Start();
  Reply reply;
  std::thread poll([&]() {
    reply = Send("GET", deployment.port("entry0"), "/internal/v1/config?after=1&wait_ms=10000");
  });
  std::this_thread::sleep_for(Millis(200));
  deployment.Signal("entry0", SIGTERM);
  poll.join();
  LONGS_EQUAL(503, reply.status);
  LONGS_EQUAL(0, deployment.Wait("entry0"));
}

// Guards against processes that cannot be replaced while the platform is down.
TEST(Configuration, StartsAProcessFromItsPeersDuringAnOutage) {
  Deployment deployment;
  deployment.Start();
  deployment.InjectFault("platform", R"({"down":true})");
  deployment.Restart("agent0");
  CHECK(Eventually([&]() { return deployment.Revision("agent0") == 1; }, Seconds(10)));
  CHECK(deployment.AllReady());
}

}  // namespace fuchsiaweir::testing
