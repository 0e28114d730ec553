#ifndef FUCHSIAWEIR_NET_LISTEN_RETRY_H_
#define FUCHSIAWEIR_NET_LISTEN_RETRY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "net/http_types.h"

namespace fuchsiaweir {

/// A socket that a process listens on.
struct ListenSocket {
  std::string name;  ///< For the log.
  Endpoint address;
  std::function<void()> open;         ///< Throws if the socket cannot be opened.
  std::function<bool()> is_wanted;    ///< Called before each further attempt.
  std::function<void()> opened = {};  ///< Called once.
};

/// Opens the socket. If that fails, as while another process holds the port or before the address
/// is up, tries again with a growing delay until it succeeds or the socket is not wanted any more.
void ListenWithRetry(boost::asio::io_context& io, ListenSocket socket);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_LISTEN_RETRY_H_
