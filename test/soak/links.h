#ifndef FUCHSIAWEIR_TEST_SOAK_LINKS_H_
#define FUCHSIAWEIR_TEST_SOAK_LINKS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <list>
#include <memory>
#include <thread>

#include "net/awaitable.h"

namespace fuchsiaweir::soak {

/// Proxies on loopback, each of which passes the bytes of its connections on to a port and can
/// reset all of them at once.
class Links {
 public:
  Links();
  ~Links();

  /// Adds a link to a port and returns the link's port. Call before the first reset.
  int Add(int target);
  /// Resets all connections of a link, numbered from 0. May be called from any thread.
  void Reset(int link);

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Connection {
    explicit Connection(boost::asio::io_context& io) : near(io), far(io) {}
    Socket near;
    Socket far;
  };

  struct Link {
    explicit Link(boost::asio::io_context& io) : acceptor(io) {}
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint target;
    std::list<std::weak_ptr<Connection>> connections;
  };

  Awaitable<void> Accept(Link& link);
  static Awaitable<void> Connect(Link& link, std::shared_ptr<Connection> connection);
  static Awaitable<void> Copy(std::shared_ptr<Connection> keep_alive, Socket& from, Socket& to);

  boost::asio::io_context io_{1};
  std::deque<Link> links_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::jthread thread_;
};

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_LINKS_H_
