// Tests of the HTTP client against a server whose connections fail.

#include "net/http_client.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/http_server.h"
#include "net/http_transport.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr Duration kCallTimeout = Millis(300);
constexpr int kConnections = 3;
/// Time limit of calls that must fail for another reason.
constexpr Duration kEndlessTimeout = Seconds(20);
constexpr int64_t kMaxBodyBytes = 1'000'000;
constexpr size_t kPieceBytes = 65'536;

uint16_t ClientPort(HttpExchange& exchange) {
  boost::system::error_code ignored;
  return exchange.transport().tcp().socket().remote_endpoint(ignored).port();
}

}  // namespace

TEST_GROUP(HttpClientConnections){};

// Guards against calls that time out one after the other on pooled connections to the same peer,
// all of which went silent together.
TEST(HttpClientConnections, ATimeoutOnAPooledConnectionDiscardsTheOthers) {
  boost::asio::io_context io(1);
  std::set<uint16_t> seen;
  std::set<uint16_t> silent;
  HttpServerOptions server_options;
  server_options.listen = {"127.0.0.1", static_cast<uint16_t>(FreePort())};
  HttpServer server(io, server_options, [&](HttpExchange& exchange) -> Awaitable<void> {
    seen.insert(ClientPort(exchange));
    while (silent.count(ClientPort(exchange)) > 0) co_await SleepFor(kCallTimeout);
    co_await SleepFor(Millis(20));  // Concurrent calls need a connection each.
    HttpResponse response{200, {}, "ok"};
    co_await exchange.Respond(std::move(response));
  });
  server.Start();
  HttpClient client(io);
  std::vector<bool> succeeded;
  int pending = 0;
  const auto call = [&]() -> Awaitable<void> {
    Endpoint endpoint = server_options.listen;
    HttpRequest request{"GET", "/", {}, ""};
    CallOptions options;
    options.timeout = kCallTimeout;
    const HttpResult result =
        co_await client.Call(std::move(endpoint), std::move(request), options);
    succeeded.push_back(result.ok());
    --pending;
  };
  const auto run_calls = [&](int count) {
    succeeded.clear();
    pending = count;
    for (int i = 0; i < count; ++i) Spawn(io, "call", call);
    while (pending > 0) io.run_one();
  };
  run_calls(kConnections);
  LONGS_EQUAL(kConnections, client.idle_connections());
  silent = seen;
  run_calls(1);
  CHECK_FALSE(succeeded.front());
  run_calls(1);
  CHECK(succeeded.front());
}

/// A server that answers every connection with bytes that do not end.
TEST_GROUP(EndlessResponses) {
  boost::asio::io_context io{1};
  boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};

  /// Calls the server, or opens a stream from it, while it sends `begin` and then `unit` without
  /// end. Checks that the call fails long before its time limit.
  void CheckEndsEarly(const std::string& begin, const std::string& unit, bool stream) {
    std::jthread server([&]() {
      boost::asio::ip::tcp::socket connection = acceptor.accept();
      boost::system::error_code end;
      boost::asio::write(connection, boost::asio::buffer(begin), end);
      std::string piece;
      while (piece.size() < kPieceBytes) piece += unit;
      while (!end) boost::asio::write(connection, boost::asio::buffer(piece), end);
    });
    HttpClient client(io);
    bool answered = true;
    bool done = false;
    Spawn(io, "call", [&]() -> Awaitable<void> {
      Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
      HttpRequest request{"GET", "/", {}, ""};
      CallOptions options;
      options.timeout = kEndlessTimeout;
      options.max_body_bytes = kMaxBodyBytes;
      if (stream) {
        const HttpStreamResult result =
            co_await client.OpenStream(std::move(endpoint), std::move(request), options);
        answered = result.stream != nullptr || result.response.has_value();
      } else {
        const HttpResult result =
            co_await client.Call(std::move(endpoint), std::move(request), options);
        answered = result.ok();
      }
      done = true;
    });
    const TimePoint start = SteadyNow();
    io.restart();  // A call may have left it without work, which stops it.
    while (!done) io.run_one();
    CHECK_TEXT(SteadyNow() - start < kEndlessTimeout / 2, begin.c_str());
    CHECK_FALSE_TEXT(answered, begin.c_str());
  }
};

// Guards against a process that runs out of memory because the store, a runner's report, a KV store
// or a peer sends without end.
TEST(EndlessResponses, CallsEndAtTheirLimit) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n1";
  for (const std::string& begin :
       {ok + "Field: ", ok + "\r\n", ok + "Content-Length: 900000000000000\r\n\r\n", chunked + ";",
        chunked + "\r\nx\r\n0\r\nField: "}) {
    CheckEndsEarly(begin, "x", /*stream=*/false);
  }
  CheckEndsEarly("", "HTTP/1.1 103 Early Hints\r\n\r\n", /*stream=*/false);
  CheckEndsEarly("", "no answer ", /*stream=*/false);
}

// Guards against an error without end in answer to a call whose body has no limit, since it is a
// stream.
TEST(EndlessResponses, ErrorsOfStreamsEndAtTheLimit) {
  const std::string error = "HTTP/1.1 500 Internal Server Error\r\n";
  CheckEndsEarly(error + "\r\n", "x", /*stream=*/true);
  CheckEndsEarly(error + "Transfer-Encoding: chunked\r\n\r\n1;", "x", /*stream=*/true);
  CheckEndsEarly(error + "Field: ", "x", /*stream=*/true);
}

/// A server that answers with bytes that are not a valid response.
TEST_GROUP(InvalidResponses) {
  boost::asio::io_context io{1};
  boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};

  /// Calls the server twice, or opens two streams from it, and returns the second result. The
  /// first response is valid and its connection is kept. If `by_line`, the lines of the second one
  /// arrive one by one.
  HttpResult SecondResult(const std::string& response, bool stream, bool by_line) {
    std::jthread server([&]() {
      boost::asio::ip::tcp::socket connection = acceptor.accept();
      boost::system::error_code failure;
      for (const std::string& bytes :
           {std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), response}) {
        std::vector<char> request(kPieceBytes);
        // A stream has a connection of its own.
        if (connection.read_some(boost::asio::buffer(request), failure) == 0) {
          connection = acceptor.accept();
          connection.read_some(boost::asio::buffer(request), failure);
        }
        const std::vector<std::string> lines = absl::StrSplit(bytes, '\n');
        connection.set_option(boost::asio::ip::tcp::no_delay(true), failure);
        for (size_t i = 0; by_line && i + 1 < lines.size(); ++i) {
          boost::asio::write(connection, boost::asio::buffer(lines[i] + "\n"), failure);
          SleepMillis(1);
        }
        const std::string& rest = by_line ? lines.back() : bytes;
        boost::asio::write(connection, boost::asio::buffer(rest), failure);
      }
    });
    HttpClient client(io);
    HttpResult result;
    bool done = false;
    Spawn(io, "calls", [&]() -> Awaitable<void> {
      for (int i = 0; i < 2; ++i) {
        Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
        HttpRequest request{"GET", "/", {}, ""};
        CallOptions options;
        if (!stream) {
          result = co_await client.Call(std::move(endpoint), std::move(request), options);
          continue;
        }
        HttpStreamResult opened =
            co_await client.OpenStream(std::move(endpoint), std::move(request), options);
        result = {opened.stage, std::move(opened.response), std::move(opened.failure)};
        if (opened.stream != nullptr) result.response = opened.stream->header();
      }
      done = true;
    });
    io.restart();  // A call may have left it without work, which stops it.
    while (!done) io.run_one();
    return result;
  }

  void CheckNoResponse(const std::string& response) {
    for (const bool stream : {false, true}) {
      for (const bool by_line : {false, true}) {
        const HttpResult result = SecondResult(response, stream, by_line);
        CHECK_TEXT(result.stage == CallStage::kSent, response.c_str());
        CHECK_TEXT(!result.response, response.c_str());
      }
    }
  }
};

// Guards against a status that is not one of HTTP in answers of the store, KV stores and peers, in
// load reports and in answers to weight orders: a call that may have taken effect counted as
// refused.
TEST(InvalidResponses, AnInvalidStatusIsNoResponse) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    CheckNoResponse(absl::StrCat("HTTP/1.1 ", status, " Unknown\r\nContent-Length: 0\r\n\r\n"));
    CheckNoResponse(absl::StrCat("HTTP/1.1 ", status, " Unknown\r\n\r\n"));
  }
  for (const int status : {200, 204, 304, 404, 599}) {
    const std::string text =
        absl::StrCat("HTTP/1.1 ", status, " Known\r\nContent-Length: 0\r\n\r\n");
    for (const bool stream : {false, true}) {
      for (const bool by_line : {false, true}) {
        const HttpResult result = SecondResult(text, stream, by_line);
        LONGS_EQUAL_TEXT(status, result.response ? result.response->status : -1, text.c_str());
      }
    }
  }
}

// Guards against a response whose body ends elsewhere than its sender meant, since the line that
// gives its length is no valid field.
TEST(InvalidResponses, AnInvalidFieldNameIsNoResponse) {
  for (const char* field : {"X Field: v", "Content-Length : 0", "X\tField: v", "X\x01: v",
                            "\x7f: v", ": v", " X-Field: v", "\tX-Field: v"}) {
    for (const char* before : {"", "X-Other: v\r\n", "Content-Length: 0\r\n"}) {
      CheckNoResponse(absl::StrCat("HTTP/1.1 200 OK\r\n", before, field, "\r\nX-Last: v\r\n\r\n"));
    }
  }
}

// Guards against the bytes of a coding that nobody decodes in place of the body.
TEST(InvalidResponses, AnUnknownTransferCodingIsNoResponse) {
  for (const char* coding : {"gzip", "gzip, chunked", "chunked, gzip"}) {
    CheckNoResponse(
        absl::StrCat("HTTP/1.1 200 OK\r\nTransfer-Encoding: ", coding, "\r\n\r\n0\r\n\r\n"));
  }
}

}  // namespace fuchsiaweir::testing
