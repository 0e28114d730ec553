#include "soak/links.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <future>
#include <utility>
#include <vector>

#include "process/deployment.h"

namespace fuchsiaweir::soak {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr size_t kPieceBytes = 65'536;

void CloseWithReset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

Links::Links() : work_(io_.get_executor()), thread_([this]() { io_.run(); }) {}

Links::~Links() {
  io_.stop();
  thread_.join();
}

int Links::Add(int target) {
  const int port = testing::FreePort();
  std::promise<void> added;
  asio::post(io_, [&]() {
    Link& link = links_.emplace_back(io_);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), static_cast<uint16_t>(port));
    link.target = {asio::ip::address_v4::loopback(), static_cast<uint16_t>(target)};
    link.acceptor.open(tcp::v4());
    link.acceptor.set_option(tcp::acceptor::reuse_address(true));
    link.acceptor.bind(endpoint);
    link.acceptor.listen();
    Spawn(io_, "accept", [this, &link]() { return Accept(link); });
    added.set_value();
  });
  added.get_future().wait();
  return port;
}

void Links::Reset(int link) {
  asio::post(io_, [this, link]() {
    for (const std::weak_ptr<Connection>& open : links_.at(static_cast<size_t>(link)).connections) {
      if (const std::shared_ptr<Connection> connection = open.lock()) {
        CloseWithReset(connection->near);
        CloseWithReset(connection->far);
      }
    }
  });
}

Awaitable<void> Links::Accept(Link& link) {
  while (true) {
    const auto connection = std::make_shared<Connection>(io_);
    boost::system::error_code failure;
    auto token = asio::redirect_error(asio::use_awaitable, failure);
    co_await link.acceptor.async_accept(connection->near, token);
    if (failure) continue;
    link.connections.remove_if([](const auto& open) { return open.expired(); });
    link.connections.push_back(connection);
    Spawn(io_, "connect", [&link, connection]() { return Connect(link, connection); });
  }
}

Awaitable<void> Links::Connect(Link& link, std::shared_ptr<Connection> connection) {
  boost::system::error_code failure;
  auto token = asio::redirect_error(asio::use_awaitable, failure);
  co_await connection->far.async_connect(link.target, token);
  // A port without a listener resets a connection.
  if (failure) co_return CloseWithReset(connection->near);
  auto& io = static_cast<asio::io_context&>(connection->near.get_executor().context());
  Spawn(io, "back", [connection]() { return Copy(connection, connection->far, connection->near); });
  co_await Copy(connection, connection->near, connection->far);
}

Awaitable<void> Links::Copy([[maybe_unused]] std::shared_ptr<Connection> keep_alive, Socket& from,
                            Socket& to) {
  std::vector<char> piece(kPieceBytes);
  boost::system::error_code failure;
  auto token = asio::redirect_error(asio::use_awaitable, failure);
  while (true) {
    const asio::mutable_buffer space = asio::buffer(piece);
    const size_t count = co_await from.async_read_some(space, token);
    if (failure) break;
    const asio::const_buffer data(piece.data(), count);
    co_await asio::async_write(to, data, token);
    if (failure) break;
  }
  if (failure == asio::error::eof) {
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    co_return;
  }
  CloseWithReset(from);
  CloseWithReset(to);
}

}  // namespace fuchsiaweir::soak
