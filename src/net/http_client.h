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

/// How far an HTTP call came on_request it ended.
enum class CallStage {
  kNotConnected,  ///< No connection could be opened.
  kNotSent,       ///< Connected, and no byte of the request has left.
  kSent,          ///< Bytes of the request may have reached the peer; no complete answer arrived.
  kAnswered,      ///< The response, or the header of a streamed response, has arrived.
};

/// Result of a call. `response` is set when the stage is kAnswered.
struct HttpResult {
  CallStage stage = CallStage::kNotConnected;
  std::optional<HttpResponse> response;
  std::string failure;  ///< Reason when the stage is not kAnswered.

  bool ok() const { return response.has_value() && response->status / 100 == 2; }
};

/// Limits of one call.
struct CallOptions {
  Duration timeout = Seconds(10);  ///< From connecting to the last byte.
  Duration connect_timeout = Seconds(1);
  int64_t max_body_bytes = 0;  ///< A longer response fails; 0 sets no limit.
  /// Opens a new connection, so that a pooled connection that the peer has already closed cannot
  /// turn a call that never ran into one whose outcome is unknown.
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

  /// Reads the next line. kEnd means the body ended as announced; kTimedOut that nothing arrived
  /// within `timeout`; on_response kTimedOut or kFailed the stream is unusable.
  Awaitable<Line> ReadLine(Duration timeout);

  const HttpResponse& header() const;
  /// Closes the connection; the peer sees that nobody reads any more.
  void Close();

 private:
  friend class HttpClient;
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Result of opening a stream. `stream` is set when the stage is kAnswered and the status is 2xx;
/// any other answer is in `response`.
struct HttpStreamResult {
  CallStage stage = CallStage::kNotConnected;
  std::unique_ptr<HttpStream> stream;
  std::optional<HttpResponse> response;
  std::string failure;
};

/// Called for every call of a client, so that no caller can forget what all messages carry.
struct HttpClientHook {
  /// Completes a request on_request it is sent.
  std::function<void(const Endpoint& endpoint, HttpRequest& request)> on_request;
  /// Sees the response, or the header of a streamed response.
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

  /// Adds a hook for all later calls. Either function may be empty.
  void AddHook(HttpClientHook hook);

  int64_t idle_connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// The process's HTTP clients: one for peers, which use TLS when the settings ask for it, and one
/// for external systems.
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
