#include "net/http_transport.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr size_t kReadBytes = 4'096;
constexpr size_t kLingerReadBytes = 65'536;

}  // namespace

namespace asio = boost::asio;

HttpTransport::HttpTransport(asio::ip::tcp::socket socket, const TlsContext& tls) {
  ErrorCode ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (tls == nullptr) {
    plain_ = std::make_unique<boost::beast::tcp_stream>(std::move(socket));
  } else {
    tls_ = std::make_unique<boost::beast::ssl_stream<boost::beast::tcp_stream>>(std::move(socket),
                                                                                *tls);
  }
}

boost::beast::tcp_stream& HttpTransport::tcp() {
  return tls_ != nullptr ? tls_->next_layer() : *plain_;
}

Awaitable<HttpTransport::ErrorCode> HttpTransport::Handshake(
    asio::ssl::stream_base::handshake_type type) {
  ErrorCode failure;
  if (tls_ != nullptr) {
    co_await tls_->async_handshake(type, asio::redirect_error(asio::use_awaitable, failure));
  }
  co_return failure;
}

void HttpTransport::SetMaxBufferBytes(size_t bytes) {
  if (buffer_.size() <= bytes) buffer_.max_size(bytes);
}

Awaitable<HttpTransport::ErrorCode> HttpTransport::WaitReadable() {
  if (buffer_.size() > 0) co_return ErrorCode();
  co_return co_await ReadMore();
}

Awaitable<HttpTransport::ErrorCode> HttpTransport::ReadMore() {
  if (buffer_.size() + kReadBytes > buffer_.max_size()) {
    co_return boost::beast::http::error::buffer_overflow;
  }
  ErrorCode failure;
  auto space = buffer_.prepare(kReadBytes);
  auto token = asio::redirect_error(asio::use_awaitable, failure);
  if (tls_ != nullptr) {
    buffer_.commit(co_await tls_->async_read_some(space, token));
  } else {
    buffer_.commit(co_await plain_->async_read_some(space, token));
  }
  co_return failure;
}

std::string_view HttpTransport::BufferedInput() const {
  const auto bytes = buffer_.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

Awaitable<HttpTransport::ErrorCode> HttpTransport::WriteAll(std::string_view data,
                                                            std::string_view more) {
  ErrorCode failure;
  const std::array<asio::const_buffer, 2> bytes{asio::const_buffer(data.data(), data.size()),
                                                asio::const_buffer(more.data(), more.size())};
  auto token = asio::redirect_error(asio::use_awaitable, failure);
  if (tls_ != nullptr) {
    co_await asio::async_write(*tls_, bytes, token);
  } else {
    co_await asio::async_write(*plain_, bytes, token);
  }
  co_return failure;
}

Awaitable<void> HttpTransport::Linger(size_t max_bytes, Duration timeout) {
  ErrorCode failure;
  tcp().socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  tcp().expires_after(timeout);
  buffer_.clear();
  // Shared by all connections: nobody reads what is discarded.
  static thread_local std::array<char, kLingerReadBytes> discarded;
  while (!failure && max_bytes > 0) {
    const size_t count = co_await tcp().async_read_some(
        asio::buffer(discarded.data(), std::min<size_t>(max_bytes, kLingerReadBytes)),
        asio::redirect_error(asio::use_awaitable, failure));
    max_bytes -= count;
  }
}

bool HttpTransport::PeerClosed() {
  if (!tcp().socket().is_open()) return true;
  char byte = 0;
  const ssize_t count =
      recv(tcp().socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (count == 0) return true;
  return count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

bool HttpTransport::HasUnexpectedInput() {
  if (HasBufferedInput() || !tcp().socket().is_open()) return true;
  // Unlike recv, poll leaves a reset in the socket. Without it the next read would take the end of
  // the connection for the end of a response that has no length.
  pollfd input{tcp().socket().native_handle(), POLLIN, 0};
  const int ready = poll(&input, 1, 0);
  return ready > 0 || (ready < 0 && errno != EINTR);
}

int64_t HttpTransport::UnacknowledgedBytes() {
  int bytes = 0;
  const bool known =
      tcp().socket().is_open() && ioctl(tcp().socket().native_handle(), SIOCOUTQ, &bytes) == 0;
  return known ? bytes : -1;
}

void HttpTransport::Close() {
  ErrorCode ignored;
  tcp().socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  tcp().socket().close(ignored);
}

}  // namespace fuchsiaweir
