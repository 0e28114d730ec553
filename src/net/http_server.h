#ifndef FUCHSIAWEIR_NET_HTTP_SERVER_H_
#define FUCHSIAWEIR_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result.h"
#include "core/upload_budget.h"
#include "net/awaitable.h"
#include "net/http_types.h"
#include "net/log.h"
#include "net/tls_context.h"

namespace fuchsiaweir {

class HttpTransport;

/// One request with the operations to send its response.
class HttpExchange {
 public:
  HttpExchange(HttpTransport& transport, HttpRequest request, Duration write_timeout);

  const HttpRequest& request() const { return request_; }
  const HttpTarget& target() const { return target_; }
  /// Frees the memory of the request's body, which no further attempt needs.
  void ReleaseBody();
  /// Lets `ReleaseBody` return the body's bytes to the budget of the server.
  void SetUpload(UploadBudget::Upload* upload) { upload_ = upload; }

  /// Adds a field to the header of the response that `Respond` or `BeginStream` sends later.
  void AddHeader(std::string name, std::string value);

  /// Sends a complete response. Returns false if a response was already begun or the connection
  /// failed. `memory` of the body, if given, gets the progress of the client that reads it.
  Awaitable<bool> Respond(HttpResponse response, MemoryBudget::Share* memory = nullptr);

  /// Sends the header of a chunked response; `WriteChunk` and `EndStream` follow.
  Awaitable<bool> BeginStream(int status, HttpHeaders headers);
  Awaitable<bool> WriteChunk(std::string data);
  Awaitable<bool> EndStream();

  /// Closes the connection without completing the response, so that the client detects the
  /// truncation.
  void Abort();

  /// Whether the client has closed the connection.
  bool peer_closed() const;
  /// The connection; only the stand-ins of the tests use it, to inject faults.
  HttpTransport& transport() { return transport_; }
  /// Whether a complete response has been sent.
  bool answered() const { return state_ == State::kAnswered; }
  /// Whether nothing of a response has been sent.
  bool waiting() const { return state_ == State::kWaiting; }
  bool streaming() const { return state_ == State::kStreaming; }
  /// Closes the connection after the response, which announces it with "Connection: close".
  void CloseAfterResponse() { keep_alive_ = false; }
  bool keep_alive() const { return keep_alive_; }

 private:
  enum class State { kWaiting, kStreaming, kAnswered, kFailed };

  Awaitable<bool> Write(std::string data, State next, std::string_view more = {},
                        MemoryBudget::Share* memory = nullptr);
  std::string Header(int status, const HttpHeaders& headers) const;

  HttpTransport& transport_;
  HttpRequest request_;
  UploadBudget::Upload* upload_ = nullptr;  ///< Null if the request has no body.
  HttpTarget target_;
  HttpHeaders added_headers_;
  Duration write_timeout_;
  State state_ = State::kWaiting;
  bool keep_alive_ = true;
};

/// Handles one request and sends its response.
using HttpHandler = std::function<Awaitable<void>(HttpExchange&)>;

/// A request that is refused before its body is received.
struct RequestRefusal {
  enum class Cause { kMemory, kConnections };

  Cause cause = Cause::kMemory;
  int64_t connections = 0;
  int64_t held_bytes = 0;   ///< By all bodies.
  int64_t asked_bytes = 0;  ///< Announced length of the body, or the largest that is allowed.
  Duration waited{0};
};

/// Logs the refusal, with `fields` besides its own, and returns its response.
HttpResponse RespondToRefusal(const HttpRequest& request, const RequestRefusal& refusal,
                              const LogFields& fields = {});

struct HttpServerOptions {
  Endpoint listen;
  int64_t max_body_bytes = 8'000'000;
  int64_t max_header_bytes = 16'384;
  /// Beyond it, connections that are idle are closed, and others are refused.
  int64_t max_connections = 4'096;
  /// Limit of connections and of requests that are handled, each of which may need a connection of
  /// its own. Further requests are refused.
  int64_t max_descriptors = 1'000'000;
  /// Limit of all connections and of the bodies of their requests, until the requests have ended.
  int64_t body_memory_bytes = 256'000'000;
  /// Budget that replaces `body_memory_bytes`, if not null. It must outlive the server, and no
  /// other server may use it.
  MemoryBudget* memory = nullptr;
  /// Limit of the system's receive and send buffer of a connection; 0: as the system sets them.
  int socket_buffer_bytes = 0;
  /// Returns the response to a request that is refused; `request` has no body.
  std::function<HttpResponse(const HttpRequest& request, const RequestRefusal& refusal)> refuse;
  /// Time limit from the first byte of a request to its last; also limits the TLS handshake.
  Duration read_timeout = Seconds(10);
  Duration write_timeout = Seconds(30);  ///< Time limit of each write to the client.
  Duration idle_timeout = Seconds(75);   ///< Between two requests on a connection.
  TlsContext tls;
};

/// Returns the JSON error response for an error, with Retry-After if the error has a retry delay.
HttpResponse ErrorResponse(const Error& error);

/// Returns a JSON response.
HttpResponse JsonResponse(int status, std::string body);

/// HTTP/1.1 server that passes all requests to one handler.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();

  /// Binds and starts accepting. Throws boost::system::system_error if the address is in use.
  void Start();
  /// Stops accepting, closes idle connections and waits until all active requests have ended.
  Awaitable<void> Drain();

  int64_t active_requests() const;
  /// Open connections, including idle ones.
  int64_t connections() const;
  /// The memory of request bodies.
  const UploadBudget& uploads() const;

  /// Sets the size limits and timeouts of requests, effective from the next request on.
  void SetCallerLimits(int64_t max_header_bytes, int64_t max_body_bytes, Duration read_timeout,
                       Duration idle_timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HTTP_SERVER_H_
