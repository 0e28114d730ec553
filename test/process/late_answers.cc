// Tests of runners and other servers that send an answer once more on a connection that is kept.

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "net/http_client.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {

TEST_GROUP(LateAnswers) {
  Fleet fleet{1, 1};

  /// Lets the runner refuse a request on a connection that the gateway then keeps.
  void RefuseOnce(const std::string& id) {
    fleet.InjectFault("runner0", R"({"full": true})");
    LONGS_EQUAL(503, fleet.CallWithId("/unsafe/", "x", id).status);
    fleet.InjectFault("runner0", R"({"repeat_refusal": true})");
  }
};

// Guards against 'not run' for a request that runs: the runner writes the refusal of an earlier
// attempt, which had the same id, once more on the connection.
TEST(LateAnswers, ARefusalOfAnEarlierAttemptIsNotTakenForThisOne) {
  fleet.Start();
  RefuseOnce("same");
  const Reply reply = fleet.CallWithId("/unsafe/", "body", "same");
  LONGS_EQUAL(1, fleet.Runs(0));
  LONGS_EQUAL(200, reply.status);
  STRCMP_EQUAL("body", reply.body.c_str());
}

// Guards against an answer to another request, for a request with another id.
TEST(LateAnswers, ARefusalOfAnotherRequestIsDropped) {
  fleet.Start();
  RefuseOnce("first");
  const Reply reply = fleet.CallWithId("/unsafe/", "body", "second");
  LONGS_EQUAL(1, fleet.Runs(0));
  LONGS_EQUAL(200, reply.status);
  STRCMP_EQUAL("body", reply.body.c_str());
}

// Guards against the promise 'not run' with the status of a runner that does not say so: the
// request has run.
TEST(LateAnswers, AStatusWithoutProofIsNoPromise) {
  fleet.Start();
  for (const char* status : {"503", "429", "408"}) {
    fleet.InjectFault("runner0", std::string(R"({"status": )") + status + "}");
    LONGS_EQUAL(502, fleet.Call("/unsafe/", "x").status);
  }
  LONGS_EQUAL(3, fleet.Runs(0));
}

// Guards against a second copy of an answer that is taken for the answer to the next call, of the
// store, a peer or a runner's load report.
TEST(LateAnswers, AConnectionWithUnreadBytesIsNotUsedAgain) {
  boost::asio::io_context io(1);
  using tcp = boost::asio::ip::tcp;
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint server{"127.0.0.1", acceptor.local_endpoint().port()};
  std::jthread responder([&acceptor]() {
    for (const std::string answer : {"first", "second"}) {
      tcp::socket connection = acceptor.accept();
      boost::system::error_code failure;
      char buffer[4096];
      connection.read_some(boost::asio::buffer(buffer), failure);
      const std::string text =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" +
          answer;
      boost::asio::write(connection, boost::asio::buffer(text), failure);
      SleepMillis(100);
      boost::asio::write(connection, boost::asio::buffer(text), failure);
      SleepMillis(200);
    }
  });
  HttpClient client(io, nullptr);
  std::string second;
  bool done = false;
  Spawn(io, "calls", [&]() -> Awaitable<void> {
    CallOptions options;
    options.timeout = Seconds(2);
    HttpRequest request;
    HttpRequest again;
    co_await client.Call(server, std::move(request), options);
    co_await SleepFor(Millis(200));
    const HttpResult result = co_await client.Call(server, std::move(again), options);
    if (result.response) second = result.response->body;
    done = true;
  });
  while (!done) io.run_one();
  STRCMP_EQUAL("second", second.c_str());
}

}  // namespace fuchsiaweir::testing
