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

/// A configuration in force. Snapshots are immutable; a request keeps the one that it began with.
struct ConfigSnapshot {
  int64_t revision = 0;
  Inventory inventory;
  ServiceStates states;  ///< By the inventory alone; `ServiceGate` adds leaving hosts and orders.
};

/// Holds the process's configuration and keeps it current. A few processes of each data centre
/// watch the platform's object; all others wait for answers from these.
class ConfigService : public Component {
 public:
  ConfigService(boost::asio::io_context& io, const Settings& settings, ObjectApi& objects,
                Membership& membership, HttpClient& peers);

  void Start() override;
  Awaitable<void> Stop() override;

  /// Returns the configuration in force; revision 0 until the first one has arrived.
  std::shared_ptr<const ConfigSnapshot> current() const { return current_; }

  /// Answers GET /internal/v1/config?after=R&wait_ms=W: the document above revision R, or status
  /// 204 when none arrives within W.
  Awaitable<void> ServePoll(HttpExchange& exchange);

  /// Refuses the polls that wait and all further ones, so that they do not delay a shutdown.
  void RejectPolls();

  /// Fetches the document from a process that was seen with `revision`, when that is newer. One
  /// fetch runs at a time.
  void FetchIfNewer(int64_t revision, const Endpoint& peer);

 private:
  struct StartSources;

  Awaitable<void> Run();
  Awaitable<void> ChooseStart();
  Awaitable<void> AskPlatform(std::shared_ptr<StartSources> sources);
  Awaitable<void> AskPeer(std::shared_ptr<StartSources> sources, Endpoint peer);
  Awaitable<bool> WatchOnce();
  Awaitable<bool> PollOnce(Duration wait);
  Awaitable<void> Fetch(Endpoint peer);

  /// Answers a poll with the document in force, in the coding that the poller accepts.
  HttpResponse DocumentResponse(const std::string& accepted_coding);
  bool HoldsWatchNow() const;
  std::vector<Endpoint> PollEndpoints() const;
  /// Returns the revision above which a document is of use.
  int64_t Seen() const { return std::max(adoption_.active_revision(), rejected_revision_); }
  void Offer(ConfigDocument document, const std::string& source);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ObjectApi& objects_;
  Membership& membership_;
  HttpClient& peers_;
  ConfigAdoption adoption_;
  std::shared_ptr<const ConfigSnapshot> current_ = std::make_shared<ConfigSnapshot>();
  std::string encoded_;  ///< The document in force as JSON.
  /// The same, deflated: a watcher sends it to about 30 processes, and the whole text made that
  /// 50 KB/s over a day at the two-year size.
  std::string deflated_;
  Notifier adopted_;
  int64_t object_version_ = 0;
  int64_t rejected_revision_ = 0;  ///< Newest document that was refused; not fetched again.
  size_t failed_polls_ = 0;        ///< In a row; selects the poll target.
  TimePoint last_failed_poll_;
  bool fetching_ = false;
  bool ending_ = false;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CONFIG_SERVICE_H_
