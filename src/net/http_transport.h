#ifndef FUCHSIAWEIR_NET_HTTP_TRANSPORT_H_
#define FUCHSIAWEIR_NET_HTTP_TRANSPORT_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

#include "core/clock.h"
#include "net/awaitable.h"
#include "net/tls_context.h"

namespace fuchsiaweir {

/// A TCP or TLS connection with a read buffer for HTTP messages. Operations fail with a timeout
/// error once the time set by `ExpireAfter` has passed.
class HttpTransport {
 public:
  using ErrorCode = boost::system::error_code;

  /// Default bound of the read buffer. A header, a chunk extension or a trailer that does not fit
  /// is an error; bodies are passed on in pieces and have limits of their own.
  static constexpr size_t kMaxBufferBytes = 262'144;

  HttpTransport(boost::asio::ip::tcp::socket socket, const TlsContext& tls);

  void ExpireAfter(Duration timeout) { tcp().expires_after(timeout); }
  Awaitable<ErrorCode> Handshake(boost::asio::ssl::stream_base::handshake_type type);
  /// Sets the bound of the read buffer; effective once the buffer holds less.
  void SetMaxBufferBytes(size_t bytes);
  /// Waits until the buffer holds input.
  Awaitable<ErrorCode> WaitReadable();
  /// Appends the next input to the buffer.
  Awaitable<ErrorCode> ReadMore();
  /// Writes `data`, then `more`, in one system call where the socket takes both.
  Awaitable<ErrorCode> WriteAll(std::string_view data, std::string_view more = {});

  template <typename Parser>
  Awaitable<ErrorCode> ReadHeader(Parser& parser) {
    ErrorCode failure;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, failure);
    if (tls_ != nullptr) {
      co_await boost::beast::http::async_read_header(*tls_, buffer_, parser, token);
    } else {
      co_await boost::beast::http::async_read_header(*plain_, buffer_, parser, token);
    }
    co_return failure;
  }

  template <typename Parser>
  Awaitable<ErrorCode> Read(Parser& parser) {
    ErrorCode failure;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, failure);
    if (tls_ != nullptr) {
      co_await boost::beast::http::async_read(*tls_, buffer_, parser, token);
    } else {
      co_await boost::beast::http::async_read(*plain_, buffer_, parser, token);
    }
    co_return failure;
  }

  template <typename Parser>
  Awaitable<ErrorCode> ReadSome(Parser& parser) {
    ErrorCode failure;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, failure);
    if (tls_ != nullptr) {
      co_await boost::beast::http::async_read_some(*tls_, buffer_, parser, token);
    } else {
      co_await boost::beast::http::async_read_some(*plain_, buffer_, parser, token);
    }
    co_return failure;
  }

  /// Shuts down the sending side and discards input until the peer closes, for at most `max_bytes`
  /// and `timeout`. Closing with unread input would reset the connection, and the peer could lose
  /// the response.
  Awaitable<void> Linger(size_t max_bytes, Duration timeout);

  /// Whether the peer has closed or reset the connection; does not block or consume data.
  bool PeerClosed();
  void Close();
  /// Whether the buffer holds input that no message has consumed.
  bool HasBufferedInput() const { return buffer_.size() > 0; }
  /// The input that no message has consumed; valid until the next read.
  std::string_view BufferedInput() const;
  void ConsumeInput(size_t bytes) { buffer_.consume(bytes); }
  /// Whether the peer has closed the connection or sent bytes that no request is waiting for.
  bool HasUnexpectedInput();
  /// Bytes that were written and that the peer's host has not acknowledged; -1 if that is not
  /// known.
  int64_t UnacknowledgedBytes();
  boost::beast::tcp_stream& tcp();

 private:
  std::unique_ptr<boost::beast::tcp_stream> plain_;
  std::unique_ptr<boost::beast::ssl_stream<boost::beast::tcp_stream>> tls_;
  boost::beast::flat_buffer buffer_{kMaxBufferBytes};
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HTTP_TRANSPORT_H_
