#ifndef FUCHSIAWEIR_NET_HTTP_SERVER_H_
#define FUCHSIAWEIR_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/http_types.h"
#include "net/tls_context.h"

namespace fuchsiaweir {

class HttpTransport;

/// One request and the means to answer it.
class HttpExchange {
 public:
  HttpExchange(HttpTransport& transport, HttpRequest request, Duration write_timeout);

  const HttpRequest& request() const { return request_; }
  const HttpTarget& target() const { return target_; }

  /// Adds a field to the header of the response, whoever sends it.
  void AddHeader(std::string name, std::string value);

  /// Sends the whole response. Returns false when the connection failed.
  Awaitable<bool> Respond(HttpResponse response);

  /// Sends the header of a chunked response; `WriteChunk` and `EndStream` follow.
  Awaitable<bool> BeginStream(int status, HttpHeaders headers);
  Awaitable<bool> WriteChunk(std::string data);
  Awaitable<bool> EndStream();

  /// Closes the connection without completing the response, so that the client sees it as broken.
  void Abort();

  /// Whether the client has closed the connection.
  bool peer_closed() const;
  /// The connection; stand-ins misuse it to play faults.
  HttpTransport& transport() { return transport_; }
  /// Whether a complete response has been sent.
  bool answered() const { return state_ == State::kAnswered; }
  /// Whether no part of a response has been sent.
  bool waiting() const { return state_ == State::kWaiting; }
  bool streaming() const { return state_ == State::kStreaming; }
  /// Makes the response announce that the connection closes after it.
  void CloseAfterResponse() { keep_alive_ = false; }
  bool keep_alive() const { return keep_alive_; }

 private:
  enum class State { kWaiting, kStreaming, kAnswered, kFailed };

  Awaitable<bool> Write(std::string data, State next);
  std::string Header(int status, const HttpHeaders& headers) const;

  HttpTransport& transport_;
  HttpRequest request_;
  HttpTarget target_;
  HttpHeaders added_headers_;
  Duration write_timeout_;
  State state_ = State::kWaiting;
  bool keep_alive_ = true;
};

/// Answers one request.
using HttpHandler = std::function<Awaitable<void>(HttpExchange&)>;

struct HttpServerOptions {
  Endpoint listen;
  int64_t max_body_bytes = 8'000'000;
  int64_t max_header_bytes = 16'384;
  int64_t max_connections = 4'096;
  Duration read_timeout = Seconds(10);   ///< For one message once its first byte has arrived.
  Duration write_timeout = Seconds(30);  ///< For one write to a slow reader.
  Duration idle_timeout = Seconds(75);   ///< Between two requests of a connection.
  TlsContext tls;
};

/// Returns the JSON error response for an error, with Retry-After where it helps.
HttpResponse ErrorResponse(const Error& error);

/// Returns a JSON response.
HttpResponse JsonResponse(int status, std::string body);

/// Accepts connections and runs one handler for all requests.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();

  /// Binds and starts accepting. Throws boost::system::system_error when the address is taken.
  void Start();
  /// Stops accepting, closes idle connections and waits until the last request is answered.
  Awaitable<void> Drain();

  int64_t active_requests() const;

  /// Changes what callers may send and how long they may take, from the next request on.
  void SetCallerLimits(int64_t max_header_bytes, int64_t max_body_bytes, Duration read_timeout,
                       Duration idle_timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HTTP_SERVER_H_
