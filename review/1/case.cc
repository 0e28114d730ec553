// The same as the day, with the real clock: large desired states in quick succession stay in the
// gateway's memory until it exceeds the memory of its machine.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

#include "deployment.h"
#include "standins.h"

namespace {

using namespace review;

/// Memory of a front machine of the site.
constexpr int64_t kMemoryMb = 96;
constexpr int64_t kMemoryPollMs = 10;
/// Nine times the 350 routes by which `big_config` grows the desired state; below 1 MB as text.
constexpr int kRoutes = 3150;
constexpr size_t kValueBytes = 1'048'576;
/// `config_storm` has a change each 0.33 s, for 4 s at a time.
constexpr int64_t kChangeIntervalMs = 330;
constexpr int kChangesInAStorm = 12;
constexpr int kStorms = 8;
constexpr int64_t kStormPauseMs = 500;
constexpr int kClients = 8;
constexpr int64_t kWorkMs = 1000;
constexpr int64_t kDeadlineMs = 6000;
/// Requests cut beside a change of the desired state that an operator would not call a mishap.
constexpr int kAllowedLost = 3;

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  Arrivals arrivals;
  ObjectStore store("127.0.0.1");
  Runner desk({"sportello-1", "sportello", "acireale", "127.0.0.1", 64, kWorkMs, {}}, arrivals);
  store.Put("servers", "sportello-1", desk.Entry());
  const auto state = [](int64_t version, int routes) {
    boost::json::array list{MakeRoute("/desk/", "unsafe", "sportello", 1)};
    for (int i = 0; i < routes; ++i) {
      list.push_back(MakeRoute("/r" + std::to_string(i) + "/", "safe", "sportello", 2));
    }
    return MakeDesiredState(version, std::move(list), {"sportello"},
                            {MakeTenant("alpha", {"key-1"})});
  };
  int64_t version = 7;
  store.Put("config", "main", state(version, 0));
  Deployment deployment(store.address(), {{"acireale", "sicilia-est"}});
  const std::string gateway = deployment.StartGateway("acireale");
  if (!deployment.WaitReady(gateway, 10'000)) {
    record.Line("the gateway did not become ready: " + deployment.Log(gateway));
    return kNotRun;
  }
  record.Line("gateway ready, " + std::to_string(deployment.MemoryMb(gateway)) + " MB");

  // The platform: a process that exceeds the memory of its machine is killed.
  std::atomic<bool> finished = false;
  std::atomic<bool> killed = false;
  std::thread platform([&]() {
    while (!finished && !killed) {
      const int64_t used = deployment.MemoryMb(gateway);
      if (used > kMemoryMb) {
        record.Line("the platform kills the gateway: " + std::to_string(used) + " MB of " +
                    std::to_string(kMemoryMb));
        deployment.Signal(gateway, SIGKILL);
        killed = true;
      }
      SleepMs(kMemoryPollMs);
    }
  });

  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i]() {
      Client client(deployment.callers(gateway));
      for (int n = 0; !finished && !killed; ++n) {
        const std::string id = "desk-" + std::to_string(i) + "-" + std::to_string(n);
        const Answer answer = client.Send("POST", "/desk/b", id, "key-1", "pay", kDeadlineMs);
        if (answer.complete && answer.status == 200) {
          ++served;
        } else if (!answer.complete && arrivals.Runs(id) > 0) {
          ++lost;
          record.Line(id + ": " + answer.problem);
        } else {
          ++failed;
          record.Line(id + " answered " + std::to_string(answer.status) + " " + answer.problem);
        }
      }
    });
  }
  int changes = 0;
  for (int storm = 0; storm < kStorms && !killed; ++storm) {
    for (int i = 0; i < kChangesInAStorm && !killed; ++i) {
      if (Trouble()) {
        boost::json::object next = state(version += 2, kRoutes);
        const size_t bytes = boost::json::serialize(next).size();
        if (bytes > kValueBytes) return kNotRun;
        store.Put("config", "main", std::move(next));
        if (++changes % kChangesInAStorm == 1) {
          record.Line(std::to_string(changes) + " desired states of " + std::to_string(bytes) +
                      " bytes, gateway " + std::to_string(deployment.MemoryMb(gateway)) + " MB");
        }
      }
      SleepMs(kChangeIntervalMs);
    }
    SleepMs(kStormPauseMs);
  }
  SleepMs(kWorkMs);
  finished = true;
  for (std::thread& client : clients) client.join();
  platform.join();
  record.Line("desired states: " + std::to_string(changes) + "; requests answered: " +
              std::to_string(served) + ", otherwise: " + std::to_string(failed) +
              ", passed on and closed without an answer: " + std::to_string(lost));
  if (lost > kAllowedLost) return kBroken;
  return served > 0 && failed + lost == 0 ? kHeld : kNotRun;
}
