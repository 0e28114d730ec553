// Tests of a gateway whose stores of cached KV parts hold many parts.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

/// Memory of the smallest host that runs a gateway.
constexpr int64_t kHostMemoryMb = 96;
constexpr int kStores = 2;
/// As many as fit into the largest list that a gateway reads.
constexpr int kParts = 250'000;
constexpr int64_t kReadMs = 4'000;
constexpr int64_t kRevision = 100;

std::string List() {
  std::string rows;
  for (int i = 0; i < kParts; ++i) {
    absl::StrAppend(&rows, i == 0 ? "" : ",", "[\"v1\",\"part-", 10'000'000 + i, "\",50]");
  }
  return absl::StrCat(R"({"epoch": 1, "next": 5, "held": [)", rows, "]}");
}

}  // namespace

TEST_GROUP(StoreListMemory) {
  Fleet fleet{1, 1};
  boost::asio::io_context io;
  const std::string list = List();
  std::vector<std::unique_ptr<HttpServer>> stores;
  std::vector<int> ports;
  std::jthread thread;

  void setup() override {
    for (int i = 0; i < kStores; ++i) {
      ports.push_back(FreePort());
      HttpServerOptions options;
      options.listen = {"127.0.0.1", static_cast<uint16_t>(ports.back())};
      stores.push_back(std::make_unique<HttpServer>(
          io, options, [this](HttpExchange& exchange) { return Serve(exchange); }));
      stores.back()->Start();
    }
    thread = std::jthread([this]() { io.run(); });
  }

  void teardown() override {
    io.stop();
    thread.join();
  }

  Awaitable<void> Serve(HttpExchange & exchange) {
    const bool whole = exchange.target().path == platform::kCacheListPath;
    HttpResponse response =
        JsonResponse(200, whole ? list : R"({"epoch": 1, "next": 5, "events": []})");
    co_await exchange.Respond(std::move(response));
  }

  json::object Service(const std::string& name, int port) {
    return {{"name", name},       {"cold_s", 3.0},
            {"cold_per_s", 4.0},  {"kv_store", absl::StrCat("127.0.0.1:", port)},
            {"managed", true},    {"zone", "east"},
            {"kv_capacity", 1e8}, {"max_watchers", 8}};
  }
};

// Guards against a gateway that is killed because it reads long lists from several stores.
TEST(StoreListMemory, ListsOfAllStoresFitInMemory) {
  fleet.Start();
  json::array services;
  for (int i = 0; i < kStores; ++i) {
    services.push_back(Service(absl::StrCat("service", i), ports[static_cast<size_t>(i)]));
  }
  fleet.Put(platform::kConfigKind, "main",
            json::object{{"version", kRevision},
                         {"routes", json::array{}},
                         {"services", std::move(services)},
                         {"limits", json::object{}},
                         {"tenants", json::array{}}});
  SleepMillis(kReadMs);
  const int64_t peak = fleet.PeakMemoryMb("gateway0");
  CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(peak, " MB").c_str());
}

}  // namespace fuchsiaweir::testing
