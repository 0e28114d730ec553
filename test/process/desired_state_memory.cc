// Tests of the memory of a gateway whose operator changes the desired state often.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "gateway/relay_client.h"
#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

/// Memory of the smallest host that runs a gateway.
constexpr int64_t kHostMemoryMb = 96;
/// As many routes as fit into the largest value that the store takes.
constexpr int kRoutes = 3'000;
constexpr int kChanges = 40;
constexpr int64_t kChangeIntervalMs = 200;
constexpr int kReaders = 100;
/// So many that the socket buffers do not hold all responses.
constexpr int kRequestsPerReader = 8;
constexpr int64_t kReadMs = 8'000;
/// Less than a response, so that a reader which stops reading holds it at the gateway.
constexpr int kReceiveBufferBytes = 4'096;

}  // namespace

TEST_GROUP(DesiredStateMemory) { Fleet fleet{2, 2}; };

// Guards against a gateway that keeps each desired state: its changes were kept for relays, and
// requests that last long kept the one under which they arrived.
TEST(DesiredStateMemory, ManyLargeChangesFitInMemory) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"event_interval_ms": 100})");
  fleet.InjectFault("runner1", R"({"event_interval_ms": 100})");
  std::vector<std::jthread> callers;
  for (int change = 0; change < kChanges; ++change) {
    fleet.PutDesiredState({"key-1"}, kRoutes);
    callers.emplace_back([this]() {
      const Reply reply = fleet.Call("/stream/", "events=25");
      LONGS_EQUAL(200, reply.status);
    });
    SleepMillis(kChangeIntervalMs);
  }
  callers.clear();
  for (const char* gateway : {"gateway0", "gateway1"}) {
    const int64_t peak = fleet.PeakMemoryMb(gateway);
    CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(gateway, " ", peak, " MB").c_str());
  }
}

// Guards against a gateway that runs out of memory when its store returns at once what it missed
// while it was out of reach, as a watch of all changes since.
TEST(DesiredStateMemory, ChangesMissedDuringAnOutageFitInMemory) {
  fleet.Start();
  fleet.Signal("gateway0", SIGSTOP);
  for (int change = 0; change < kChanges; ++change) fleet.PutDesiredState({"key-1"}, kRoutes);
  fleet.PutDesiredState({"key-3"}, kRoutes);
  fleet.Signal("gateway0", SIGCONT);
  CHECK(Eventually([this]() { return fleet.Call("/safe/", "x", 0, "key-3").status == 200; }));
  LONGS_EQUAL(401, fleet.Call("/safe/", "x", 0, "key-1").status);
  const int64_t peak = fleet.PeakMemoryMb("gateway0");
  CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(peak, " MB").c_str());
}

// Guards against a gateway that runs out of memory when many processes, which the store turns away,
// read a large desired state from it at once over slow links.
TEST(DesiredStateMemory, ManyReadersAtOnceFitInMemory) {
  fleet.Start();
  fleet.PutDesiredState({"key-3"}, kRoutes);
  CHECK(Eventually([this]() { return fleet.Call("/safe/", "x", 0, "key-3").status == 200; }));
  const std::string target =
      absl::StrCat(kRelayPath, "?kind=", platform::kConfigKind, "&since=0&wait_ms=0");
  boost::asio::io_context io;
  std::vector<boost::asio::ip::tcp::socket> readers;
  for (int i = 0; i < kReaders; ++i) {
    readers.emplace_back(io);
    readers.back().open(boost::asio::ip::tcp::v4());
    readers.back().set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    readers.back().connect(
        {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(fleet.peer_port(0))});
    const std::string request = absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: peer\r\n\r\n");
    for (int n = 0; n < kRequestsPerReader; ++n) {
      boost::asio::write(readers.back(), boost::asio::buffer(request));
    }
  }
  SleepMillis(kReadMs);
  const int64_t peak = fleet.PeakMemoryMb("gateway0");
  CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(peak, " MB").c_str());
  readers.clear();
  CHECK(Eventually([&]() { return Send("GET", fleet.peer_port(0), target).status == 200; }));
}

}  // namespace fuchsiaweir::testing
