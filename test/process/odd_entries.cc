// Tests of processes that follow the list of runners while another writer leaves odd entries there.

#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

json::value Nested(int depth) {
  json::value value = json::array{};
  for (int i = 1; i < depth; ++i) value = json::array{std::move(value)};
  return value;
}

std::vector<json::value> OddEntries() {
  json::object entry{{"service", "llm"}, {"addr", "127.0.0.1:1"}, {"zone", "east"}, {"slots", 8},
                     {"state", "ready"}, {"cold_left_ms", 0},     {"seq", 1}};
  std::vector<json::value> entries{Nested(28), Nested(30)};
  for (const double number : {1e30, 1e308, -1e30}) {
    entry["slots"] = number;
    entries.emplace_back(entry);
  }
  entry["slots"] = 8;
  for (const char* address : {"127.0.0.1:70000", "127.0.0.1:-1", ""}) {
    entry["addr"] = address;
    entries.emplace_back(entry);
  }
  return entries;
}

}  // namespace

TEST_GROUP(OddEntries) { Fleet fleet{2, 2, /*sidecars=*/true}; };

// Guards against processes that end, or no longer follow the list, because of one entry.
TEST(OddEntries, TheListIsFollowedBesideAnOddEntry) {
  fleet.Start();
  int number = 0;
  for (const json::value& entry : OddEntries()) {
    fleet.Put("servers", "odd" + std::to_string(number++), entry);
  }
  SleepMillis(1'500);
  for (int gateway = 0; gateway < 2; ++gateway) {
    LONGS_EQUAL(200, fleet.Call("/unsafe/", "x", gateway).status);
  }
  // Both still learn of a departure, and of a runner that a restarted gateway lists.
  fleet.ListRunner(0, "draining");
  fleet.Restart("gateway1");
  CHECK(Eventually([&]() { return fleet.Ready(1); }, Seconds(5)));
  SleepMillis(1'500);
  const int64_t runs = fleet.Runs(0);
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(200, fleet.Call("/unsafe/", "x", i % 2).status);
  LONGS_EQUAL(runs, fleet.Runs(0));
  CHECK(fleet.AllGatewaysLogged("runner_entry_unreadable"));
  for (const char* name : {"gateway0", "gateway1", "sidecar0", "sidecar1"}) {
    const std::string log = fleet.Log(name);
    CHECK(log.find("daemon_failed") == std::string::npos);
    CHECK(log.find("task_failed") == std::string::npos);
  }
}

// Guards against numbers in a caller's header fields that cannot be converted.
TEST(OddEntries, OddHeaderFieldsOfCallersAreBounded) {
  fleet.Start();
  for (const char* value : {"1e300", "inf", "nan", "-5", "99999999999999999999"}) {
    const Reply reply = Send("POST", fleet.caller_port(0), "/safe/", "x",
                             {{"Host", "fleet.example"},
                              {"X-Fuchsiaweir-Request-Id", std::string("odd-") + value},
                              {"X-Fuchsiaweir-Deadline-Ms", value},
                              {"X-Fuchsiaweir-Token-Count", std::string(value) + "," + value},
                              {"X-Fuchsiaweir-Prompt-Prefix", std::string("a:") + value + ",b:-7"},
                              {"Api-Key", "key-1"}});
    CHECK(reply.status > 0);
  }
  LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
}

// Guards against sidecars that end by a segmentation fault once a model is named with version 0:
// the newest of no versions was read.
TEST(OddEntries, SidecarsOutliveAModelWithoutAVersion) {
  fleet.Start();
  fleet.Put("versions", "model", json::object{{"model", "model"}, {"version", 0}});
  SleepMillis(1'500);
  CHECK(fleet.PeakMemoryMb("sidecar0") > 0);
  CHECK(fleet.PeakMemoryMb("sidecar1") > 0);
  // They still follow the versions.
  fleet.Put("versions", "model", json::object{{"model", "model"}, {"version", 2}});
  CHECK(Eventually([&]() { return fleet.Stats(0).at("version") == 2; }, Seconds(10)));
}

}  // namespace fuchsiaweir::testing
