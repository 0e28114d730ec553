#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

/// Blocking TCP connection for raw bytes that need not be valid HTTP.
class RawConnection {
 public:
  explicit RawConnection(int port) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~RawConnection() { close(descriptor_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Write(const std::string& bytes) {
    send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void EndWriting() { shutdown(descriptor_, SHUT_WR); }

  /// Reads until a complete response header has arrived or the peer closes the connection.
  std::string ReadHeader() {
    std::string received;
    char buffer[4096];
    while (!absl::StrContains(received, "\r\n\r\n")) {
      const ssize_t count = recv(descriptor_, buffer, sizeof(buffer), 0);
      if (count <= 0) break;
      received.append(buffer, static_cast<size_t>(count));
    }
    return received;
  }

 private:
  int descriptor_;
};

Deployment::Options StrictLimits() {
  Deployment::Options options;
  options.settings = "[limits]\nread_timeout_ms = 400\nmax_body_bytes = 100000\n";
  return options;
}

std::string Request(size_t announced_length, const std::string& body,
                    const std::string& headers = "") {
  return absl::StrCat("POST /v1/completions HTTP/1.1\r\nHost: test\r\n",
                      "Authorization: Bearer key-alpha\r\n", headers,
                      "Content-Length: ", announced_length, "\r\n\r\n", body);
}

Reply Post(Deployment& deployment, const std::string& body, const std::string& key = "key-alpha") {
  return Send("POST", deployment.port("entry0"), "/v1/completions", body,
              {{"Authorization", "Bearer " + key}});
}

std::string ErrorCodeOf(const Reply& reply) {
  const boost::json::object body = reply.json();
  return std::string(body.at("error").at("code").as_string());
}

}  // namespace

TEST_GROUP(BadInput) {
  Deployment deployment{StrictLimits()};

  void setup() override { deployment.Start(); }

  void CheckStillServes() {
    LONGS_EQUAL(200, Send("GET", deployment.port("entry0"), "/v1/models", "",
                          {{"Authorization", "Bearer key-alpha"}})
                         .status);
    CHECK(deployment.Running("entry0"));
  }

  /// Sends raw bytes and returns the header of the response.
  std::string HeaderAfter(const std::string& bytes, bool end_writing) {
    RawConnection connection(deployment.port("entry0"));
    connection.Write(bytes);
    if (end_writing) connection.EndWriting();
    return connection.ReadHeader();
  }
};

// Guards against malformed requests that get the wrong error code or end the process.
TEST(BadInput, MalformedRequestsGetTheirErrorCode) {
  STRCMP_EQUAL("unauthorized", ErrorCodeOf(Post(deployment, "{}", "wrong-key")).c_str());
  STRCMP_EQUAL("bad_request", ErrorCodeOf(Post(deployment, "{\"model\":")).c_str());
  STRCMP_EQUAL("bad_request", ErrorCodeOf(Post(deployment, "{\"model\":\"model\"}")).c_str());
  STRCMP_EQUAL("unknown_model",
               ErrorCodeOf(Post(deployment, R"({"model":"other","prompt":"a b"})")).c_str());
  STRCMP_EQUAL("too_large", ErrorCodeOf(Post(deployment, std::string(200'000, 'x'))).c_str());
  STRCMP_EQUAL("not_found", ErrorCodeOf(Send("GET", deployment.port("entry0"), "/v2/unknown", "",
                                             {{"Authorization", "Bearer key-alpha"}}))
                                .c_str());
  CheckStillServes();
}

// Guards against error responses that are invalid JSON or very long because they echo a name that
// is not valid UTF-8 or is too long.
TEST(BadInput, InvalidUtf8NamesYieldValidErrorResponses) {
  const std::string name = "\xFF\xFE" + std::string(5'000, 'n');
  const Reply reply = Post(deployment, absl::StrCat(R"({"model":")", name, R"(","prompt":"a b"})"));
  LONGS_EQUAL(404, reply.status);
  STRCMP_EQUAL("unknown_model", ErrorCodeOf(reply).c_str());
  CHECK(reply.body.size() < 1'000);
}

// Guards against deeply nested JSON that exhausts the stack.
TEST(BadInput, DeeplyNestedJsonIsRefused) {
  STRCMP_EQUAL("bad_request", ErrorCodeOf(Post(deployment, std::string(90'000, '['))).c_str());
  CheckStillServes();
}

// Guards against unbounded buffering of header fields.
TEST(BadInput, OversizedHeaderIsRefused) {
  const std::string headers = "X-Filler: " + std::string(100'000, 'x') + "\r\n";
  CHECK(absl::StartsWith(HeaderAfter(Request(2, "{}", headers), false), "HTTP/1.1 431"));
  CheckStillServes();
}

// Guards against a truncated upload that is treated as complete or never gets a response.
TEST(BadInput, TruncatedUploadIsRefused) {
  CHECK(absl::StartsWith(HeaderAfter(Request(50, "{\"model\""), true), "HTTP/1.1 400"));
  CheckStillServes();
}

// Guards against a request behind the body of another one that runs as a request of its own,
// because the end of that body cannot be found.
TEST(BadInput, UnknownTransferCodingsAreRefused) {
  for (const char* coding : {"gzip", "chunked, gzip", "gzip, chunked", "identity"}) {
    RawConnection connection(deployment.port("entry0"));
    connection.Write(absl::StrCat("POST /v1/completions HTTP/1.1\r\nHost: test\r\n",
                                  "Authorization: Bearer key-alpha\r\nTransfer-Encoding: ", coding,
                                  "\r\n\r\n", Request(2, "{}")));
    connection.EndWriting();
    CHECK(absl::StartsWith(connection.ReadHeader(), "HTTP/1.1 400"));
    STRCMP_EQUAL("", connection.ReadHeader().c_str());
  }
  CheckStillServes();
}

// Guards against a slow sender that occupies a connection indefinitely or delays other callers.
TEST(BadInput, SlowSenderIsRefusedWhileOthersAreServed) {
  std::string header;
  std::thread slow([&]() { header = HeaderAfter(Request(50, "{\"model\""), false); });
  CheckStillServes();
  slow.join();
  CHECK(absl::StartsWith(header, "HTTP/1.1 408"));
}

// Guards against input that is not HTTP and ends the process.
TEST(BadInput, ArbitraryBytesAreRefused) {
  for (const char* bytes :
       {"\r\n\r\n", "GET\r\n\r\n", "\x16\x03\x01\x02", "POST / HTTP/9.9\r\n\r\n"}) {
    HeaderAfter(bytes, true);
  }
  CheckStillServes();
}

}  // namespace fuchsiaweir::testing
