// Tests of callers that leave before their answer, by each way to end a connection and at each
// place where their request can be.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

using tcp = boost::asio::ip::tcp;

/// Time after a caller's leaving within which its runner stops to work.
constexpr Duration kLeaveBound = Millis(500);
constexpr const char* kPaths[] = {"/safe/", "/unsafe/", "/single/", "/stream/"};

enum class Leaving { kEnd, kReset };

/// A caller that sends a request and leaves without reading.
class DepartingCaller {
 public:
  DepartingCaller(const Fleet& fleet, const std::string& path, const std::string& id) {
    socket_.connect(
        {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(fleet.caller_port(0))});
    const std::string body = "events=50";
    const std::string request = absl::StrCat(
        "POST ", path, " HTTP/1.1\r\nHost: fleet.example\r\n", platform::kRequestIdHeader, ": ", id,
        "\r\n", platform::kTimeLeftHeader, ": 3000\r\n", platform::kApiKeyHeader,
        ": key-1\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    boost::asio::write(socket_, boost::asio::buffer(request));
  }

  void Leave(Leaving leaving) {
    if (leaving == Leaving::kReset) socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

 private:
  boost::asio::io_context io_;
  tcp::socket socket_{io_};
};

}  // namespace

TEST_GROUP(DepartedCallers) {
  Fleet fleet{1, 1};

  int64_t Count(const char* name) { return fleet.Stats(0).at(name).to_number<int64_t>(); }
};

// Guards against requests that reach runners although their callers left before the gateway had
// read them.
TEST(DepartedCallers, UnreadRequestsReachNoRunner) {
  fleet.Start();
  int requests = 0;
  for (const Leaving leaving : {Leaving::kEnd, Leaving::kReset}) {
    const int64_t runs = fleet.Runs(0);
    fleet.Signal("gateway0", SIGSTOP);
    for (const char* path : kPaths) {
      for (int i = 0; i < 5; ++i) {
        DepartingCaller(fleet, path, absl::StrCat("unread-", ++requests)).Leave(leaving);
      }
    }
    fleet.Signal("gateway0", SIGCONT);
    LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
    SleepMillis(1'000);
    LONGS_EQUAL(runs + 1, fleet.Runs(0));
  }
}

// Guards against runners that work on for callers that have left.
TEST(DepartedCallers, RunningRequestsAreCancelled) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"work_ms": 2500, "event_interval_ms": 100})");
  int requests = 0;
  for (const Leaving leaving : {Leaving::kEnd, Leaving::kReset}) {
    for (const char* path : kPaths) {
      const int64_t runs = fleet.Runs(0);
      const int64_t cancelled = Count("cancelled");
      DepartingCaller caller(fleet, path, absl::StrCat("running-", ++requests));
      CHECK(Eventually([&]() { return fleet.Runs(0) == runs + 1; }, Seconds(2)));
      caller.Leave(leaving);
      CHECK(Eventually([&]() { return Count("cancelled") == cancelled + 1; }, kLeaveBound));
    }
  }
}

}  // namespace fuchsiaweir::testing
