// Tests of a gateway that has as many connections as its descriptors allow.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace asio = boost::asio;

/// More than the gateway allows: its 1,024 descriptors, of which 700 are reserved.
constexpr int kConnections = 340;
constexpr int kAllowedConnections = 324;
/// Longer than a connection is kept although there are others that wait.
constexpr int64_t kIdleMs = 800;
/// In which the requests' headers arrive.
constexpr int64_t kArrivalMs = 300;

}  // namespace

TEST_GROUP(ConnectionLimits) {
  Fleet fleet{1, 2};
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> sockets;

  asio::ip::tcp::socket& Connect() {
    sockets.emplace_back(io);
    sockets.back().connect(
        {asio::ip::address_v4::loopback(), static_cast<uint16_t>(fleet.caller_port(0))});
    return sockets.back();
  }

  /// Returns the header of a request with a body of one byte.
  std::string Header(int number) {
    return absl::StrCat("POST /safe/ HTTP/1.1\r\nHost: fleet.example\r\n",
                        platform::kRequestIdHeader, ": limit-", number, "\r\n",
                        platform::kTimeLeftHeader, ": 3000\r\n", platform::kApiKeyHeader,
                        ": key-1\r\nContent-Length: 1\r\n\r\n");
  }

  /// Returns the header of the answer; empty if the connection is closed without one.
  std::string ReadAnswer(asio::ip::tcp::socket & socket) {
    std::string answer;
    boost::system::error_code end;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", end);
    return answer;
  }
};

// Guards against callers that get no answer because others keep connections that they don't use.
TEST(ConnectionLimits, IdleConnectionsGiveWay) {
  fleet.Start();
  for (int i = 0; i < kAllowedConnections; ++i) Connect();
  SleepMillis(kIdleMs);
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
}

// Guards against connections beyond the limit that are closed without an answer while all others
// are in use.
TEST(ConnectionLimits, ConnectionsBeyondTheLimitGetARefusal) {
  fleet.Start();
  for (int i = 0; i < kAllowedConnections; ++i) {
    asio::write(Connect(), asio::buffer(Header(i)));
  }
  SleepMillis(kArrivalMs);
  for (int i = kAllowedConnections; i < kConnections; ++i) {
    asio::write(Connect(), asio::buffer(Header(i) + "x"));
    const std::string answer = ReadAnswer(sockets.back());
    CHECK_TEXT(absl::StartsWith(answer, "HTTP/1.1 503"), answer.c_str());
    CHECK(absl::StrContains(answer, "Retry-After: "));
  }
  CHECK(absl::StrContains(fleet.Log("gateway0"), "connection_refused"));
  for (int i = 0; i < kAllowedConnections; ++i) {
    asio::write(sockets[static_cast<size_t>(i)], asio::buffer("x", 1));
  }
  for (int i = 0; i < kAllowedConnections; ++i) {
    const std::string answer = ReadAnswer(sockets[static_cast<size_t>(i)]);
    CHECK_TEXT(absl::StartsWith(answer, "HTTP/1.1 "), answer.c_str());
  }
}

}  // namespace fuchsiaweir::testing
