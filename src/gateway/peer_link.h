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
#include "core/store_position.h"
#include "gateway/rollout_messages.h"
#include "net/component_registry.h"
#include "net/http_types.h"

namespace fuchsiaweir {

/// Heartbeat between gateways, with the desired state, the weights and the changes that the sender
/// knows.
struct HelloMessage {
  std::string name;
  int64_t revision = 0;
  std::optional<Duration> confirmed_age;  ///< Time since the revision was known to be the newest.
  /// A weights version of a model, and how long ago the operator named it.
  struct Weights {
    std::string model;
    int64_t version = 0;
    Duration age{0};
  };
  std::vector<Weights> weights;
  /// Position of the newest change of a kind of the store's objects that the sender knows.
  struct Change {
    std::string kind;
    StorePosition position;
  };
  std::vector<Change> changes;
};

/// Load of a runner, as reported by the sidecar on its host.
struct LoadMessage {
  Endpoint runner;
  std::optional<EngineReport> report;  ///< Nothing if the runner does not answer.
};

/// A gateway's report that a runner crashed before it answered a request.
struct CrashMessage {
  std::string service;
  std::string runner;
  std::vector<std::string> traits;  ///< Of the request; see `RequestTraits`.
  Duration sent_age{0};             ///< Time since the request was sent.
  Duration lost_age{0};             ///< Time since it was lost.
};

/// A gateway's report that requests with these traits were answered after the last crash.
struct ClearMessage {
  std::vector<std::string> traits;
  Duration age{0};  ///< Time since the answer began.
};

/// A gateway's report that it has sent a request with these traits to find out whether they still
/// crash runners.
struct TrialMessage {
  std::vector<std::string> traits;
};

/// A gateway's report of what a runner said of the requests that it takes.
struct LimitMessage {
  std::string runner;
  std::optional<double> per_second;  ///< From all gateways together; nothing: no limit.
};

/// A gateway's report of streams that runners of one software version have begun.
struct StreamsMessage {
  std::string version;
  std::vector<uint64_t> keys;  ///< See `StreamOriginTable::Key`.
  Duration lifetime{0};        ///< How long callers may take the streams up.
};

using PeerMessage =
    std::variant<HelloMessage, LoadMessage, CrashMessage, ClearMessage, TrialMessage, LimitMessage,
                 RolloutEvidenceMessage, RolloutStepMessage, StreamsMessage>;

std::string EncodePeerMessage(const PeerMessage& message);
/// Returns nothing for a malformed datagram.
std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram);

/// UDP messages between gateways and sidecars. Messages may be lost: hellos, load reports and
/// limits are sent periodically, a crash report a few times to each gateway, and what began a
/// stream to several processes.
class PeerLink : public Component {
 public:
  using Receiver = std::function<void(const PeerMessage& message)>;

  /// Binds the UDP port of `local` at the start, and tries again while it is in use. Messages that
  /// are sent before are lost.
  PeerLink(boost::asio::io_context& io, const Endpoint& local);

  void SetReceiver(Receiver receiver) { receiver_ = std::move(receiver); }
  void Send(const Endpoint& to, const PeerMessage& message);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> ReceiveLoop();

  boost::asio::io_context& io_;
  Endpoint local_;
  bool stopped_ = false;
  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PEER_LINK_H_
