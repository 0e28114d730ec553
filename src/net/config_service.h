#ifndef FUCHSIAWEIR_NET_CONFIG_SERVICE_H_
#define FUCHSIAWEIR_NET_CONFIG_SERVICE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/config_adoption.h"
#include "core/inventory.h"
#include "core/service_states.h"
#include "core/settings.h"
#include "net/component_registry.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/membership.h"
#include "net/notifier.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// A configuration in force. Snapshots are immutable; a request uses the same one throughout.
struct ConfigSnapshot {
  int64_t revision = 0;
  Inventory inventory;
  /// From the inventory only; `ServiceGate` adds leaving hosts and tighten orders.
  ServiceStates states;
};

/// Holds the process's configuration and keeps it up to date. A few processes of each data centre
/// watch the platform's object; all others long-poll these.
class ConfigService : public Component {
 public:
  ConfigService(boost::asio::io_context& io, const Settings& settings, ObjectApi& objects,
                Membership& membership, HttpClient& peers);

  void Start() override;
  Awaitable<void> Stop() override;

  /// Returns the configuration in force; revision 0 until the first one has arrived.
  std::shared_ptr<const ConfigSnapshot> current() const { return current_; }

  /// Serves GET /internal/v1/config?after=R&wait_ms=W: responds with the document if its revision
  /// is above R, or with status 204 if there is none within W.
  Awaitable<void> ServePoll(HttpExchange& exchange);

  /// Rejects pending and further polls, so that they do not delay a shutdown.
  void RejectPolls();

  /// Fetches the document from a peer that reported `revision` if that is newer than the one in
  /// force. At most one fetch runs at a time.
  void FetchIfNewer(int64_t revision, const Endpoint& peer);

 private:
  struct InitialSources;

  Awaitable<void> Run();
  Awaitable<void> LoadInitialConfig();
  Awaitable<void> ReadInitialFromPlatform(std::shared_ptr<InitialSources> sources);
  Awaitable<void> FetchInitialFromPeer(std::shared_ptr<InitialSources> sources, Endpoint peer);
  Awaitable<bool> WatchOnce();
  Awaitable<bool> PollOnce(Duration wait);
  Awaitable<void> FetchFromPeer(Endpoint peer);

  /// Returns a response with the document in force, deflated if `accepted_coding` is deflate.
  HttpResponse DocumentResponse(const std::string& accepted_coding);
  bool ShouldWatchPlatform() const;
  std::vector<Endpoint> PollEndpoints() const;
  /// Returns the newest revision that was adopted or rejected; only newer ones are fetched.
  int64_t NewestKnownRevision() const {
    return std::max(adoption_.active_revision(), rejected_revision_);
  }
  void AdoptIfNewer(ConfigDocument document, const std::string& source);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ObjectApi& objects_;
  Membership& membership_;
  HttpClient& peers_;
  ConfigAdoption adoption_;
  std::shared_ptr<const ConfigSnapshot> current_ = std::make_shared<ConfigSnapshot>();
  std::string encoded_;  ///< The document in force as JSON; empty until it is requested.
  /// `encoded_`, deflated. A watcher sends the document to about 30 processes; uncompressed, this
  /// averaged 50 KB/s over a day at the size planned for two years ahead.
  std::string deflated_;
  Notifier adopted_;
  int64_t object_version_ = 0;
  int64_t rejected_revision_ = 0;  ///< Newest revision rejected as invalid; not fetched again.
  size_t failed_polls_ = 0;        ///< Consecutive; selects the poll target.
  TimePoint last_failed_poll_;
  bool fetch_in_progress_ = false;
  bool rejecting_polls_ = false;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CONFIG_SERVICE_H_
