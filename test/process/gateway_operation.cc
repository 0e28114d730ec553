// Operator commands, logs and metrics of gateways and sidecars.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <fstream>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

std::string RequestId(const Reply& reply) {
  return HeaderValue(reply.headers, platform::kRequestIdHeader);
}

}  // namespace

TEST_GROUP(GatewayOperation){};

// Guards against a failed request whose cause is in the logs but is not shown by the trace command.
// Covers a request of unknown outcome, one refused because the store is unavailable, and a cut
// stream.
TEST(GatewayOperation, TraceLeadsFromARequestToItsCause) {
  Fleet fleet(1, 1);
  fleet.Start();
  const std::string log = fleet.directory() + "/gateway0.log";
  const auto trace = [&](const std::string& id, const std::string& conclusion) {
    std::string output;
    const bool found = Eventually([&]() {
      return fleet.RunOperatorCommand({"trace", id, log}, &output) == 0 &&
             absl::StrContains(output, conclusion);
    });
    CHECK_TEXT(found, output.c_str());
    return output;
  };
  fleet.InjectFault("runner0", R"({"lose": true})");
  const Reply unknown = fleet.Call("/unsafe/", "booking");
  LONGS_EQUAL(502, unknown.status);
  trace(RequestId(unknown), "runner runner0 was broken");

  fleet.InjectFault("runner0", R"({"cut_after": 3})");
  fleet.Call("/single/", "events=8");
  // A cut response returns no headers, so the request id is derived: the calls are numbered.
  const std::string cut_id = absl::StrCat("call-", std::stoi(RequestId(unknown).substr(5)) + 1);
  CHECK_TEXT(absl::StrContains(trace(cut_id, "cut after"), "behind event 3"), cut_id.c_str());

  fleet.Signal("store", SIGKILL);
  Reply refused;
  CHECK(Eventually([&]() {
    refused = fleet.Call("/safe/", "x");
    return refused.status == 503 && absl::StrContains(refused.body, "platform_unavailable");
  }));
  const std::string output = trace(RequestId(refused), "API keys cannot be confirmed");
  CHECK_TEXT(absl::StrContains(output, "store_lost"), output.c_str());

  std::string json;
  LONGS_EQUAL(0,
              fleet.RunOperatorCommand({"trace", RequestId(refused), log, "--output=json"}, &json));
  CHECK(boost::json::parse(json).at("steps").as_array().size() >= 2);
  LONGS_EQUAL(1, fleet.RunOperatorCommand({"trace", "no-such-id", log}));
  LONGS_EQUAL(2, fleet.RunOperatorCommand({"trace", "no-such-id", log + ".missing"}));
}

// Guards against a process that does not respond and delays or hides the status of the others.
TEST(GatewayOperation, StatusReadsTheMetricsOfEachProcess) {
  Fleet fleet(2, 1);
  fleet.Start();
  LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
  const std::string both = absl::StrCat("--metrics=127.0.0.1:", fleet.metrics_port(0),
                                        ",127.0.0.1:", fleet.metrics_port(1));
  std::string output;
  // The gauges are updated ten times a second.
  const bool reported = Eventually([&]() {
    LONGS_EQUAL(0, fleet.RunOperatorCommand({"status", both}, &output));
    return absl::StrContains(output, "ready=1 revision=3") &&
           absl::StrContains(output, "delivered=1") && absl::StrContains(output, "runners=1");
  });
  CHECK_TEXT(reported, output.c_str());
  fleet.Signal("gateway1", SIGKILL);
  fleet.Wait("gateway1");
  LONGS_EQUAL(1, fleet.RunOperatorCommand({"status", both, "--output=json"}, &output));
  const boost::json::value status = boost::json::parse(output);
  const boost::json::array& processes = status.at("processes").as_array();
  LONGS_EQUAL(2, processes.size());
  CHECK(processes[0].at("answers").as_bool());
  CHECK_FALSE(processes[1].at("answers").as_bool());
}

// Guards against settings errors that are only found when a process starts.
TEST(GatewayOperation, CheckReportsFindingsOfSettings) {
  Fleet fleet(1, 1);
  fleet.Start();
  const std::string file = fleet.directory() + "/gateway0.ini";
  LONGS_EQUAL(0, fleet.RunOperatorCommand({"check", file, "--as=gateway"}));
  std::string output;
  LONGS_EQUAL(2, fleet.RunOperatorCommand({"check", file, "--as=sidecar"}, &output));
  CHECK_TEXT(absl::StrContains(output, "\"runner\""), output.c_str());
  std::ofstream(file, std::ios::app) << "[bounds]\nretry_ratio = -1\n[nonsense]\nkey = value\n";
  LONGS_EQUAL(2, fleet.RunOperatorCommand({"check", file, "--as=gateway"}, &output));
  CHECK_TEXT(absl::StrContains(output, "gateway0.ini:"), output.c_str());
  CHECK_TEXT(absl::StrContains(output, "nonsense"), output.c_str());
  LONGS_EQUAL(64, fleet.RunOperatorCommand({"check", file, "--as=novel"}));
}

// Guards against requests that block when the log's reader is slow, and against log records that
// are dropped without a trace. Here the log is a pipe that nobody reads at first.
TEST(GatewayOperation, AFullLogPipeHoldsNoRequestUp) {
  Fleet fleet(1, 1);
  const std::string pipe = fleet.directory() + "/gateway0.log";
  LONGS_EQUAL(0, mkfifo(pipe.c_str(), 0600));
  const int reader = open(pipe.c_str(), O_RDWR | O_NONBLOCK);
  CHECK(reader >= 0);
  fleet.Start();
  // Two records per request; the pipe's capacity is 64 KiB.
  for (int i = 0; i < 400; ++i) LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
  std::string text;
  char buffer[4'096];
  const auto read_at_most = [&](size_t limit) {
    while (limit > 0) {
      const ssize_t count = read(reader, buffer, std::min(limit, sizeof(buffer)));
      if (count <= 0) return;
      text.append(buffer, static_cast<size_t>(count));
      limit -= static_cast<size_t>(count);
    }
  };
  // Only what the pipe holds now: the first read makes room for a record that is written meanwhile.
  int held = 0;
  LONGS_EQUAL(0, ioctl(reader, FIONREAD, &held));
  CHECK(held > 0);
  read_at_most(static_cast<size_t>(held));
  CHECK_FALSE(absl::StrContains(text, "no_room"));
  CHECK(Eventually([&]() {
    LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
    read_at_most(SIZE_MAX);
    return absl::StrContains(text, "\"no_room\":");
  }));
  close(reader);
}

}  // namespace fuchsiaweir::testing
