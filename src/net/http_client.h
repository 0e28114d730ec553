#ifndef FUCHSIAWEIR_NET_HTTP_CLIENT_H_
#define FUCHSIAWEIR_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "net/awaitable.h"
#include "net/component_registry.h"
#include "net/http_types.h"
#include "net/tls_context.h"

namespace fuchsiaweir {

class HttpTransport;

/// Progress of an HTTP call when it ended.
enum class CallStage {
  kNotConnected,  ///< No connection was established.
  kNotSent,       ///< Connected, but no byte of the request was sent.
  kSent,          ///< The peer may have received the request, in full or in part; no complete
                  ///< response arrived.
  kAnswered,      ///< The response, or the header of a streamed response, was received.
};

/// Result of a call. `response` is set if the stage is kAnswered.
struct HttpResult {
  CallStage stage = CallStage::kNotConnected;
  std::optional<HttpResponse> response;
  std::string failure;     ///< Error message if the stage is not kAnswered.
  bool reused = false;     ///< The connection was a pooled one.
  bool too_large = false;  ///< The response's body exceeds the call's limit.

  bool ok() const { return response.has_value() && response->status / 100 == 2; }
};

/// Limits of one call.
struct CallOptions {
  /// Time limit of the exchange once connected; also caps `connect_timeout`.
  Duration timeout = Seconds(10);
  Duration connect_timeout = Seconds(1);
  int64_t max_body_bytes = 16'000'000;  ///< A call with a larger response body fails.
  /// Opens a new connection instead of using a pooled one. If the peer has already closed a pooled
  /// connection, a call on it ends as kSent although the peer never received the request.
  bool fresh_connection = false;
};

/// The body of a streamed response, read line by line.
class HttpStream {
 public:
  explicit HttpStream(std::unique_ptr<HttpTransport> transport);
  ~HttpStream();

  enum class ReadStatus { kLine, kEnd, kTimedOut, kFailed };
  struct Line {
    ReadStatus status = ReadStatus::kFailed;
    std::string text;  ///< Without the newline; set for kLine.
  };

  /// Reads the next line. kEnd: the body is complete. kTimedOut: no complete line arrived within
  /// `timeout`. kFailed: the connection failed, the body is truncated or a line is too long. The
  /// stream is unusable once a read has ended with kTimedOut or kFailed.
  Awaitable<Line> ReadLine(Duration timeout);

  const HttpResponse& header() const;
  /// Closes the connection, which lets the peer stop sending.
  void Close();

 private:
  friend class HttpClient;
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Result of opening a stream. If the stage is kAnswered, `stream` is set for a 2xx status and
/// `response` for any other.
struct HttpStreamResult {
  CallStage stage = CallStage::kNotConnected;
  std::unique_ptr<HttpStream> stream;
  std::optional<HttpResponse> response;
  std::string failure;
};

/// Functions that run on every call of a client, for header fields that all messages carry.
struct HttpClientHook {
  /// Completes a request that is about to be sent.
  std::function<void(const Endpoint& endpoint, HttpRequest& request)> on_request;
  /// Receives the response, or the header of a streamed response.
  std::function<void(const Endpoint& endpoint, const HttpRequest& request,
                     const HttpResponse& response)>
      on_response;
};

/// HTTP/1.1 client with pooled connections.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& io, TlsContext tls = nullptr);
  ~HttpClient();

  Awaitable<HttpResult> Call(Endpoint endpoint, HttpRequest request, CallOptions options);
  Awaitable<HttpStreamResult> OpenStream(Endpoint endpoint, HttpRequest request,
                                         CallOptions options);

  /// Adds a hook for all later calls. Hooks run in the order in which they were added; either
  /// function may be empty.
  void AddHook(HttpClientHook hook);

  int64_t idle_connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// The process's HTTP clients: one for peers, with TLS if the settings configure it, and one
/// without TLS for all other systems.
class HttpClients : public Component {
 public:
  HttpClients(boost::asio::io_context& io, TlsContext peer_tls)
      : peers_(io, std::move(peer_tls)), external_(io) {}

  HttpClient& peers() { return peers_; }
  HttpClient& external() { return external_; }

 private:
  HttpClient peers_;
  HttpClient external_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HTTP_CLIENT_H_
