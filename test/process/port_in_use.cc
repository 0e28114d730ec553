// Processes whose ports are held by another process when they start.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <thread>

#include "process/fleet.h"
#include "process/lone_process.h"

namespace fuchsiaweir::testing {
namespace {

/// Longer than a former process needs to end after its successor has started.
constexpr int kHeldMs = 700;

struct PortCase {
  const char* socket;
  int (LoneProcess::*port)() const;
  int type;
};

constexpr PortCase kPortCases[] = {{"callers", &LoneProcess::callers_port, SOCK_STREAM},
                                   {"readiness", &LoneProcess::readiness_port, SOCK_STREAM},
                                   {"peers", &LoneProcess::peer_port, SOCK_STREAM},
                                   {"peer_messages", &LoneProcess::peer_port, SOCK_DGRAM},
                                   {"metrics", &LoneProcess::metrics_port, SOCK_STREAM}};

}  // namespace

TEST_GROUP(PortInUse){};

// Guards against a process that ends because the one before it still holds a port.
TEST(PortInUse, EachPortIsTriedAgainWhileTheOthersServe) {
  for (const PortCase& held_port : kPortCases) {
    LoneProcess process;
    HeldPort held((process.*held_port.port)(), held_port.type);
    process.Start();
    CHECK_TEXT(process.Logs("daemon_started"), held_port.socket);
    const std::string name = absl::StrCat("\"socket\":\"", held_port.socket, "\"");
    CHECK_TEXT(process.Logs(absl::StrCat(R"("event":"listen_failed",)", name)), held_port.socket);
    SleepMillis(kHeldMs);
    const bool is_metrics = held_port.port == &LoneProcess::metrics_port;
    const auto answers = [](int port) { return Send("GET", port, "/metrics").status != 0; };
    CHECK_TEXT(answers(is_metrics ? process.callers_port() : process.metrics_port()),
               held_port.socket);
    held.Release();
    CHECK_TEXT(process.Logs(absl::StrCat(R"("event":"listen_opened",)", name)), held_port.socket);
    if (held_port.type == SOCK_STREAM) CHECK(answers((process.*held_port.port)()));
    process.Signal(SIGTERM);
    LONGS_EQUAL_TEXT(0, process.Wait(), held_port.socket);
  }
}

// Guards against a process that does not end, or ends with an error, while a port is still held.
TEST(PortInUse, AStopWhileThePortIsHeldEndsWithoutAnError) {
  LoneProcess process;
  const HeldPort held(process.callers_port(), SOCK_STREAM);
  process.Start();
  CHECK(process.Logs("daemon_started"));
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against a balancer that sends callers to a port that is not open.
TEST(PortInUse, AGatewayIsNotReadyBeforeThePortOfCallersIsOpen) {
  Fleet fleet(1, 1);
  HeldPort held(fleet.caller_port(0), SOCK_STREAM);
  bool known = false;
  bool ready = true;
  // Processes end with the thread that has started them, which is this one.
  std::jthread release([&]() {
    known = Eventually([&]() { return fleet.AllGatewaysLogged("desired_state_adopted"); });
    SleepMillis(kHeldMs);
    ready = fleet.Ready(0);
    held.Release();
  });
  fleet.Start();
  release.join();
  CHECK(known);
  CHECK_FALSE(ready);
  CHECK(Eventually([&]() { return fleet.Ready(0); }));
  LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
}

// Guards against entries and agents that end because the process before them still holds the port.
TEST(PortInUse, EntriesAndAgentsTryAgain) {
  for (const char* name : {"entry0", "agent0"}) {
    Deployment deployment;
    HeldPort held(deployment.port(name), SOCK_STREAM);
    std::jthread release([&]() {
      SleepMillis(2 * kHeldMs);
      held.Release();
    });
    deployment.Start();
    CHECK_TEXT(deployment.AllReady(), name);
  }
}

}  // namespace fuchsiaweir::testing
