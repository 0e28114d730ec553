// Tests of a server that stops while callers open connections and send requests.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "net/http_server.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const std::string kRequest = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx";
constexpr int kCallers = 16;
/// Before the gateway closes its listening socket, 2.6 s after SIGTERM.
constexpr int64_t kBeginUploadMs = 2'400;
/// Less than the time limit for a request's bytes. With it 2.4 s are left of the shutdown, less
/// than the route's time limit of 3 s.
constexpr int64_t kUploadMs = 2'800;

}  // namespace

TEST_GROUP(PlannedStop) {
  asio::io_context io{1};
  HttpServerOptions options;
  int served = 0;

  void setup() override {
    options.listen = {"127.0.0.1", static_cast<uint16_t>(FreePort())};
    options.idle_timeout = Seconds(5);
  }

  HttpHandler Handler() {
    return [this](HttpExchange& exchange) -> Awaitable<void> {
      ++served;
      HttpResponse response{200, {}, "answer"};
      co_await exchange.Respond(std::move(response));
    };
  }

  tcp::socket Connect(asio::io_context & client_io) {
    tcp::socket socket(client_io);
    socket.connect({asio::ip::make_address(options.listen.address), options.listen.port});
    return socket;
  }

  /// Drains the server and returns what the caller's connection received until it ended.
  std::string DrainAndRead(HttpServer & server, tcp::socket & caller) {
    bool drained = false;
    Spawn(io, "drain", [&]() -> Awaitable<void> {
      co_await server.Drain();
      drained = true;
    });
    while (!drained) io.run_one();
    std::string received;
    boost::system::error_code end;
    asio::read(caller, asio::dynamic_buffer(received), end);
    return received;
  }
};

// Guards against requests on connections that the system has opened for the server, but that the
// server has not accepted yet when it stops.
TEST(PlannedStop, ConnectionsThatWaitToBeAcceptedAreServed) {
  HttpServer server(io, options, Handler());
  server.Start();
  io.poll();
  asio::io_context client_io;
  tcp::socket caller = Connect(client_io);
  asio::write(caller, asio::buffer(kRequest));
  const std::string received = DrainAndRead(server, caller);
  LONGS_EQUAL(1, served);
  CHECK(received.find("answer") != std::string::npos);
}

// Guards against a request that has arrived on a kept connection when the server closes its idle
// connections.
TEST(PlannedStop, ARequestThatHasArrivedOnAKeptConnectionIsServed) {
  HttpServer server(io, options, Handler());
  server.Start();
  asio::io_context client_io;
  tcp::socket caller = Connect(client_io);
  asio::write(caller, asio::buffer(kRequest));
  while (served == 0) io.run_one();
  io.poll();
  asio::write(caller, asio::buffer(kRequest));
  const std::string received = DrainAndRead(server, caller);
  LONGS_EQUAL(2, served);
  CHECK(received.find("answer", received.find("answer") + 1) != std::string::npos);
}

// Guards against connections that are left open by a server that has stopped.
TEST(PlannedStop, IdleConnectionsAreClosed) {
  HttpServer server(io, options, Handler());
  server.Start();
  asio::io_context client_io;
  tcp::socket caller = Connect(client_io);
  io.poll();
  STRCMP_EQUAL("", DrainAndRead(server, caller).c_str());
}

// Guards against requests that are cut off while a gateway stops under load. Callers open new
// connections until the process is gone; each that got one gets an answer.
TEST(PlannedStop, AGatewayThatStopsUnderLoadAnswersWhatItAccepted) {
  Fleet fleet(1, 2);
  fleet.Start();
  std::atomic<bool> stopped = false;
  std::atomic<int> answered = 0;
  std::atomic<int> cut = 0;
  std::vector<std::jthread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i]() {
      asio::io_context client_io;
      for (int call = 0; !stopped; ++call) {
        tcp::socket socket(client_io);
        boost::system::error_code failure;
        socket.connect(
            {asio::ip::address_v4::loopback(), static_cast<uint16_t>(fleet.caller_port(0))},
            failure);
        if (failure) {
          SleepMillis(5);
          continue;
        }
        const std::string request = absl::StrCat(
            "POST /unsafe/ HTTP/1.1\r\nHost: fleet.example\r\nX-Fuchsiaweir-Request-Id: s", i, "-",
            call, "\r\nX-Fuchsiaweir-Deadline-Ms: 3000\r\nApi-Key: key-1\r\n",
            "Connection: close\r\nContent-Length: 1\r\n\r\nx");
        asio::write(socket, asio::buffer(request), failure);
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), failure);
        ++(received.starts_with("HTTP/1.1 200") ? answered : cut);
      }
    });
  }
  SleepMillis(500);
  fleet.Signal("gateway0", SIGTERM);
  LONGS_EQUAL(0, fleet.Wait("gateway0"));
  stopped = true;
  callers.clear();
  CHECK(answered > 100);
  LONGS_EQUAL(0, cut);
}

/// A gateway that gets SIGTERM while a caller sends a request slowly.
TEST_GROUP(LateUpload) {
  Fleet fleet{1, 1};

  /// Sends SIGTERM, and a request whose last byte follows when half of the time for the shutdown is
  /// over. Returns what the caller receives.
  std::string StopDuringUpload() {
    fleet.Signal("gateway0", SIGTERM);
    // The gateway still takes connections, as the balancer does not know yet that it stops.
    SleepMillis(kBeginUploadMs);
    asio::io_context client_io;
    tcp::socket socket(client_io);
    socket.connect({asio::ip::address_v4::loopback(), static_cast<uint16_t>(fleet.caller_port(0))});
    const std::string head =
        "POST /unsafe/ HTTP/1.1\r\nHost: fleet.example\r\nX-Fuchsiaweir-Request-Id: late\r\n"
        "X-Fuchsiaweir-Deadline-Ms: 9000\r\nApi-Key: key-1\r\nContent-Length: 1\r\n\r\n";
    asio::write(socket, asio::buffer(head));
    SleepMillis(kUploadMs);
    asio::write(socket, asio::buffer("x", 1));
    std::string received;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(received), end);
    LONGS_EQUAL(0, fleet.Wait("gateway0"));
    return received;
  }
};

// Guards against a request that is passed on late in a planned stop and then cut with no answer,
// although it may have run.
TEST(LateUpload, ARequestWithoutAnAnswerIsAnsweredBeforeTheEnd) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"silent": true})");
  const std::string received = StopDuringUpload();
  CHECK_TEXT(received.starts_with("HTTP/1.1 504"), received.c_str());
  LONGS_EQUAL(1, fleet.Runs(0));
}

// Guards against a request that runs although it cannot end before the gateway does: its caller may
// not send it again.
TEST(LateUpload, ARequestThatCannotEndInTimeIsRefusedAsNotRun) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"silent": true})");
  LONGS_EQUAL(504, fleet.Call("/unsafe/", "x").status);
  LONGS_EQUAL(1, fleet.Runs(0));
  const std::string received = StopDuringUpload();
  CHECK_TEXT(received.starts_with("HTTP/1.1 503"), received.c_str());
  CHECK_TEXT(received.find("Retry-After: ") != std::string::npos, received.c_str());
  LONGS_EQUAL(1, fleet.Runs(0));
}

}  // namespace fuchsiaweir::testing
