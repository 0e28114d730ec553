#ifndef FUCHSIAWEIR_GATEWAY_PEER_LINK_H_
#define FUCHSIAWEIR_GATEWAY_PEER_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/runner_record.h"
#include "net/http_types.h"
#include "net/kernel.h"

namespace fuchsiaweir {

/// A gateway tells the others that it lives and how new its desired state is.
struct HelloMessage {
  std::string name;
  int64_t revision = 0;
  std::optional<Duration> confirmed_age;  ///< Since the revision was known to be the newest.
  /// Named weights of each model and how long ago they were named.
  struct Weights {
    std::string model;
    int64_t version = 0;
    Duration age{0};
  };
  std::vector<Weights> weights;
};

/// A sidecar tells the gateways about the runner on its host.
struct LoadMessage {
  Endpoint runner;
  std::optional<EngineReport> report;  ///< Nothing when the runner does not answer.
};

/// A gateway tells the others that a runner ended while it ran a request.
struct CrashMessage {
  std::string digest;  ///< Of the request's path, team and body.
  std::string crash;   ///< Names the runner's start, so that one crash counts once.
};

using PeerMessage = std::variant<HelloMessage, LoadMessage, CrashMessage>;

std::string EncodePeerMessage(const PeerMessage& message);
/// Returns nothing for a datagram that is no message of this version.
std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram);

/// Datagrams between the system's processes. Messages may be lost; each is repeated or replaced by
/// a newer one.
class PeerLink : public Component {
 public:
  using Receiver = std::function<void(const PeerMessage& message)>;

  /// Binds the UDP port of `own`. Throws boost::system::system_error when it is taken.
  PeerLink(boost::asio::io_context& io, const Endpoint& own);

  void SetReceiver(Receiver receiver) { receiver_ = std::move(receiver); }
  void Send(const Endpoint& to, const PeerMessage& message);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> ReceiveLoop();

  boost::asio::io_context& io_;
  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PEER_LINK_H_
