// Tests of the store's lists and changes when a response is empty, odd or repeats itself.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "platform/object_store.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

using platform::ObjectStore;
using platform::StoreOutcome;
using platform::StoreResult;
using tcp = boost::asio::ip::tcp;

constexpr char kOnePage[] =
    R"({"items":[{"meta":{"name":"a","rev":3},"spec":{}}],"more":true,"current_rev":9})";
constexpr char kNamelessPage[] = R"({"items":[{"spec":{}}],"more":true,"current_rev":9})";
constexpr char kEmptyPage[] = R"({"items":[],"more":true,"current_rev":9})";

/// Calls a store that sends these bodies in turn and repeats the last one. `interim` precedes each
/// response.
StoreResult CallStore(const std::vector<std::string>& bodies, bool watch,
                      const std::string& interim = "") {
  constexpr int kMaxCalls = 20;
  boost::asio::io_context io(1);
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
  std::jthread server([&]() {
    tcp::socket connection = acceptor.accept();
    boost::system::error_code end;
    for (size_t call = 0; call < kMaxCalls && !end; ++call) {
      char buffer[4096];
      connection.read_some(boost::asio::buffer(buffer), end);
      const std::string& body = bodies[std::min(call, bodies.size() - 1)];
      const std::string text = absl::StrCat(
          interim, "HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
      if (!end) boost::asio::write(connection, boost::asio::buffer(text), end);
    }
  });
  StoreResult result;
  HttpClient client(io);
  ObjectStore store(client, endpoint);
  bool done = false;
  Spawn(io, "call", [&]() -> Awaitable<void> {
    std::string kind = "servers";
    if (watch) {
      result = co_await store.Watch(std::move(kind), 5, Millis(100));
    } else {
      result = co_await store.List(std::move(kind));
    }
    done = true;
  });
  while (!done) io.run_one();
  return result;
}

}  // namespace

TEST_GROUP(StoreLists){};

// Guards against all runners being removed by a response that has no list.
TEST(StoreLists, AResponseWithoutAListIsNoEmptyList) {
  for (const char* body : {"{}", R"({"items":{},"current_rev":9})", R"({"items":[]})",
                           R"({"error":"overloaded"})", R"({"events":7,"current_rev":9})", ""}) {
    CHECK_TEXT(CallStore({body}, /*watch=*/false).outcome == StoreOutcome::kUnknown, body);
    CHECK_TEXT(CallStore({body}, /*watch=*/true).outcome == StoreOutcome::kUnknown, body);
  }
  const std::string empty = R"({"items":[],"more":false,"current_rev":9})";
  CHECK(CallStore({empty}, /*watch=*/false).outcome == StoreOutcome::kDone);
}

// Guards against an interim response that is taken for the final one, which the next call on the
// connection then gets.
TEST(StoreLists, AnInterimResponseIsNotTheFinalOne) {
  const std::string empty = R"({"items":[],"more":false,"current_rev":9})";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  CHECK(CallStore({empty}, /*watch=*/false, interim).outcome == StoreOutcome::kDone);
  CHECK(CallStore({empty}, /*watch=*/false, interim + interim + interim + interim).outcome ==
        StoreOutcome::kUnknown);
}

// Guards against the removal of the runners on later pages, after a page of entries without names.
TEST(StoreLists, AListThatCannotBeContinuedIsNotWhole) {
  CHECK(CallStore({kNamelessPage}, /*watch=*/false).outcome == StoreOutcome::kUnknown);
  CHECK(CallStore({kEmptyPage}, /*watch=*/false).outcome == StoreOutcome::kUnknown);
}

// Guards against a list that is read without end and fills the memory, because each page is
// followed by the same one or by an empty one.
TEST(StoreLists, ARepeatedPageEndsTheList) {
  CHECK(CallStore({kOnePage}, /*watch=*/false).outcome == StoreOutcome::kUnknown);
  const StoreResult result = CallStore({kOnePage, kEmptyPage}, /*watch=*/false);
  CHECK(result.outcome == StoreOutcome::kUnknown);
  STRCMP_EQUAL("no name to continue the list after \"a\"", result.failure.c_str());
}

}  // namespace fuchsiaweir::testing
