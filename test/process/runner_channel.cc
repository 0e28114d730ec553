// Tests of the gateway's connections to runners.

#include "gateway/runner_channel.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "platform/names.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

using tcp = boost::asio::ip::tcp;

/// More than the buffers of both ends hold.
constexpr size_t kBodyBytes = 32'000'000;
constexpr size_t kReadBytes = 1'000'000;

}  // namespace

TEST_GROUP(RunnerChannels){};

// Guards against a request that reaches its runner after the gateway gave it up: its bytes waited
// in the socket while nothing acknowledged them.
TEST(RunnerChannels, AnAbandonedRequestIsNotDeliveredLater) {
  boost::asio::io_context io(1);
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint runner{"127.0.0.1", acceptor.local_endpoint().port()};
  bool sent = true;
  {
    RunnerChannelPool pool(io);
    bool done = false;
    Spawn(io, "attempt", [&]() -> Awaitable<void> {
      std::string id = "id";
      RunnerChannelPool::Acquired acquired =
          co_await pool.Acquire(runner, std::move(id), true, Seconds(1));
      acquired.channel->ExpireAfter(Millis(200));
      const std::string body(kBodyBytes, 'x');
      std::string header = "POST / HTTP/1.1\r\n\r\n";
      sent = co_await acquired.channel->Send(std::move(header), body);
      pool.Release(runner, std::move(acquired.channel));
      done = true;
    });
    while (!done) io.run_one();
  }
  CHECK_FALSE(sent);
  tcp::socket connection = acceptor.accept();
  std::vector<char> buffer(kReadBytes);
  boost::system::error_code end;
  while (!end) connection.read_some(boost::asio::buffer(buffer), end);
  CHECK(end == boost::asio::error::connection_reset);
}

/// Reads the answer of a runner that sends `fields`, the rest of a header and the begin of a body,
/// and then 'x' without end if `endless`. Appends to `body` and returns how the last read ended.
RunnerChannel::Read ReadAnswer(const std::string& fields, bool endless, std::string& body,
                               const char* status = "200 OK", const char* method = "GET") {
  boost::asio::io_context io(1);
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint runner{"127.0.0.1", acceptor.local_endpoint().port()};
  std::jthread server([&]() {
    tcp::socket connection = acceptor.accept();
    boost::system::error_code end;
    const std::string begin =
        absl::StrCat("HTTP/1.1 ", status, "\r\n", platform::kRequestIdHeader, ": id\r\n", fields);
    boost::asio::write(connection, boost::asio::buffer(begin), end);
    const std::string bytes(kReadBytes, 'x');
    while (endless && !end) boost::asio::write(connection, boost::asio::buffer(bytes), end);
  });
  RunnerChannelPool pool(io);
  RunnerChannel::Read read = RunnerChannel::Read::kData;
  bool done = false;
  Spawn(io, "attempt", [&]() -> Awaitable<void> {
    std::string request_id = "id";
    RunnerChannelPool::Acquired acquired =
        co_await pool.Acquire(runner, std::move(request_id), true, Seconds(1));
    acquired.channel->ExpireAfter(Seconds(5));
    std::string request = absl::StrCat(method, " / HTTP/1.1\r\n\r\n");
    const std::string none;
    co_await acquired.channel->Send(std::move(request), none);
    RunnerHeader header;
    const std::string id = "id";
    CHECK(co_await acquired.channel->ReadHeader(id, header));
    while (read == RunnerChannel::Read::kData && body.size() < kBodyBytes) {
      read = co_await acquired.channel->ReadBody(body);
    }
    done = true;
  });
  while (!done) io.run_one();
  return read;
}

// Guards against a gateway that runs out of memory because a runner sends a body without end.
TEST(RunnerChannels, ABodyWithoutEndIsBroken) {
  std::string body;
  CHECK(ReadAnswer("\r\n", /*endless=*/true, body) == RunnerChannel::Read::kBroken);
  CHECK(body.size() < kBodyBytes);
}

// Guards against a gateway that ends because a runner announces a length that no memory holds: the
// allocation threw an exception outside of the request's own coroutine.
TEST(RunnerChannels, AnAnnouncedLengthAllocatesNothing) {
  std::string body;
  const std::string fields = "Content-Length: 900000000000000\r\n\r\nthe first bytes";
  CHECK(ReadAnswer(fields, /*endless=*/false, body) == RunnerChannel::Read::kBroken);
  STRCMP_EQUAL("the first bytes", body.c_str());
}

// Guards against HEAD requests that time out, and whose runners count as silent: the gateway waited
// for the body whose length the answer gives.
TEST(RunnerChannels, AnAnswerToHeadHasNoBody) {
  std::string body;
  const std::string fields = "Content-Length: 5\r\n\r\n";
  CHECK(ReadAnswer(fields, /*endless=*/false, body, "200 OK", "HEAD") == RunnerChannel::Read::kEnd);
  STRCMP_EQUAL("", body.c_str());
}

// Guards against an interim answer with the request's id that is taken for the final one.
TEST(RunnerChannels, AnInterimAnswerIsNotTheFinalOne) {
  std::string body;
  const std::string fields = absl::StrCat("\r\nHTTP/1.1 200 OK\r\n", platform::kRequestIdHeader,
                                          ": id\r\nContent-Length: 5\r\n\r\nwhole");
  CHECK(ReadAnswer(fields, /*endless=*/false, body, "103 Early Hints") ==
        RunnerChannel::Read::kEnd);
  STRCMP_EQUAL("whole", body.c_str());
}

// Guards against an assertion that ends the process: a late answer was dropped whole, the next one
// stops in its head, and the connection was asked whether it can be kept.
TEST(RunnerChannels, ACutHeadAfterALateAnswerIsNotReusable) {
  boost::asio::io_context io(1);
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint runner{"127.0.0.1", acceptor.local_endpoint().port()};
  std::jthread server([&]() {
    tcp::socket connection = acceptor.accept();
    boost::system::error_code end;
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 O";
    boost::asio::write(connection, boost::asio::buffer(text), end);
    SleepMillis(300);
  });
  RunnerChannelPool pool(io);
  bool done = false;
  Spawn(io, "attempt", [&]() -> Awaitable<void> {
    std::string request_id = "id";
    RunnerChannelPool::Acquired acquired =
        co_await pool.Acquire(runner, std::move(request_id), true, Seconds(1));
    acquired.channel->ExpireAfter(Millis(200));
    RunnerHeader header;
    const std::string id = "id";
    CHECK_FALSE(co_await acquired.channel->ReadHeader(id, header));
    CHECK_FALSE(acquired.channel->Reusable());
    done = true;
  });
  while (!done) io.run_one();
}

// Guards against a body without length that is cut by a reset and looks complete: a check for input
// between two reads took the error from the socket, and the next read saw the end of the
// connection.
TEST(RunnerChannels, AResetThatACheckForInputSeesBreaksTheAnswer) {
  boost::asio::io_context io(1);
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint runner{"127.0.0.1", acceptor.local_endpoint().port()};
  RunnerChannelPool pool(io);
  RunnerChannel::Read read = RunnerChannel::Read::kData;
  bool done = false;
  Spawn(io, "attempt", [&]() -> Awaitable<void> {
    std::string request_id = "id";
    RunnerChannelPool::Acquired acquired =
        co_await pool.Acquire(runner, std::move(request_id), true, Seconds(1));
    acquired.channel->ExpireAfter(Seconds(5));
    tcp::socket connection = acceptor.accept();
    const std::string text =
        absl::StrCat("HTTP/1.1 200 OK\r\n", platform::kRequestIdHeader, ": id\r\n\r\npart");
    boost::asio::write(connection, boost::asio::buffer(text));
    RunnerHeader header;
    const std::string id = "id";
    CHECK(co_await acquired.channel->ReadHeader(id, header));
    std::string body;
    CHECK(co_await acquired.channel->ReadBody(body) == RunnerChannel::Read::kData);
    connection.set_option(boost::asio::socket_base::linger(true, 0));
    connection.close();
    CHECK(Eventually([&]() { return acquired.channel->HasInput(); }));
    CHECK(acquired.channel->HasInput());
    read = co_await acquired.channel->ReadBody(body);
    done = true;
  });
  while (!done) io.run_one();
  CHECK(read == RunnerChannel::Read::kBroken);
}

}  // namespace fuchsiaweir::testing
