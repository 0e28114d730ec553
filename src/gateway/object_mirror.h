#ifndef FUCHSIAWEIR_GATEWAY_OBJECT_MIRROR_H_
#define FUCHSIAWEIR_GATEWAY_OBJECT_MIRROR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/store_backoff.h"
#include "core/store_health.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_link.h"
#include "gateway/watched_contents.h"
#include "net/awaitable.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/metrics.h"
#include "platform/object_store.h"

namespace fuchsiaweir {

/// Where a change of the store's contents comes from.
struct ChangeOrigin {
  std::string source;          ///< "store" or the address of a relay.
  bool first_listing = false;  ///< The changes are the kind's first listing.
  /// The changes are a list of a store that came back from an older copy a moment ago.
  bool older_copy = false;
};

/// One kind of the store's objects that a process follows, and what it does with the changes.
struct WatchedKind {
  const char* name = "";
  Duration watch_timeout{0};  ///< Longest time that one watch call stays open.
  Duration watch_delay{0};    ///< Between two watches, so that one returns several changes.
  /// Changes must take effect within one or two seconds: gateways tell each other of them, and only
  /// large data centres read them from relays.
  bool urgent = false;
  bool large = false;          ///< Relays send changes of the objects' contents, not whole ones.
  bool lists_runners = false;  ///< Whether the store was unavailable is tracked by this kind.
  /// Whether a known object is newer than one that was read, whatever their positions; null: never.
  bool (*newer)(const platform::StoredObject& known, const platform::StoredObject& read) = nullptr;
  /// Whether known objects that the store lacks after it came back from an older copy are kept
  /// until they can have been written again.
  bool keeps_missing = false;

  std::function<void(const platform::StoredObject& object, const ChangeOrigin& origin)> apply;
  std::function<void()> on_listed;  ///< All objects have been applied once.
  /// The contents were current at `as_of`, by `SuspendAwareNow`. Not called while they are ahead of
  /// a store that came back from an older copy.
  std::function<void(TimePoint as_of)> on_current;
  std::function<void()> on_regained;  ///< The store has been read again after failures.
};

/// Mirror of the platform's store in this process, by kind of object. Each kind is read from the
/// platform's store, or from a relay: a gateway that serves the contents to other processes.
class ObjectMirror {
 public:
  ObjectMirror(boost::asio::io_context& io, HttpClient& client, Metrics& metrics,
               const GatewaySettings& settings, PeerDirectory& peers);

  /// Registers the listener that is called when the store has come back from an older copy.
  void SetRestoreListener(std::function<void()> listener) { on_restored_ = std::move(listener); }
  /// Adds a kind; call before `Start`.
  void Add(WatchedKind kind);
  void Start();
  void Stop() { stopping_ = true; }
  /// Applies changed settings.
  void SetSettings(const GatewaySettings& settings);

  platform::ObjectStore& store() { return store_; }
  /// Latest history of the store that an answer belonged to; 0 before the first one.
  int64_t history() const { return history_.value_or(0); }
  /// Whether runners may be missing from the list only because the store was unavailable.
  bool runner_outage() const { return health_.runner_outage(); }
  /// Time since the kind was known to be current; nothing before it was read.
  std::optional<Duration> Age(const std::string& kind) const;
  /// Whether the kind was listed from an older copy of the store a moment ago.
  bool Restoring(const std::string& kind) const;
  /// Returns the newest change of each urgent kind, for a hello.
  std::vector<HelloMessage::Change> NewestChanges() const;
  /// Reads changes that a peer knows and this process does not.
  void OnPeerChanges(const std::vector<HelloMessage::Change>& changes, const Endpoint& peer);
  /// Takes over the objects of a kind that a peer knows newer than this process, or that the store
  /// has lost.
  void LearnFrom(const std::string& kind, const Endpoint& peer);
  /// Serves the contents to another process. The target's query names the object kind, the caller's
  /// revision and how long to wait for changes. Large contents are compressed if the caller accepts
  /// it.
  Awaitable<HttpResponse> ServeRelay(HttpTarget target, std::string accepted_coding);
  void UpdateGauges() const;

 private:
  struct KindRead;

  /// Age up to which contents of the kind count as current.
  static Duration MaxAge(const WatchedKind& kind);
  Awaitable<void> WatchKind(const WatchedKind& kind);
  /// Waits at most `wait` for changes.
  Awaitable<KindRead> ReadStore(const WatchedKind& kind, Duration wait);
  Awaitable<KindRead> ReadRelay(const WatchedKind& kind, Endpoint relay, StorePosition since,
                                Duration wait);
  /// Reads from the source that is next.
  Awaitable<KindRead> ReadNext(const WatchedKind& kind);
  /// Reads a change that a peer knows and this process does not.
  Awaitable<void> CatchUp(const WatchedKind& kind, Endpoint peer);
  Awaitable<void> Learn(const WatchedKind& kind, Endpoint peer);
  const WatchedKind* FindKind(const std::string& name) const;
  /// Position from which the kind is read next; revision 0 if it has to be listed.
  StorePosition ReadFrom(const WatchedKind& kind);
  /// Takes over what a read has returned.
  void ApplyRead(const WatchedKind& kind, KindRead& read);
  /// Replaces objects that were read by newer ones that are known, and adds those that are kept.
  void KeepNewer(const WatchedKind& kind, KindRead& read);
  /// Calls the kind's function for each change.
  void ApplyChanges(const WatchedKind& kind, const std::vector<platform::StoredObject>& changes,
                    const ChangeOrigin& origin);
  void OnRestored(const WatchedKind& kind, const KindRead& read);

  void LogStaleRelay(const WatchedKind& kind, const KindRead& read);
  /// Logs contents that were not taken over because they are older than the own ones.
  void LogDropped(const WatchedKind& kind, const KindRead& read);
  /// Logs and shows to which history the store's contents belong, when a later one is seen.
  void RecordHistory(const WatchedKind& kind, StorePosition position, const std::string& source);
  /// Logs from where the kind is read, when that changes.
  void RecordSource(const WatchedKind& kind, const KindRead& read);
  /// Counts what was sent to another process, and logs a large answer, which had `bytes` before it
  /// was compressed to `sent_bytes`.
  void RecordSent(const WatchedKind& kind, const ObjectChanges& changes, StorePosition since,
                  size_t bytes, size_t sent_bytes);
  void RecordStoreCall(const WatchedKind& kind, const platform::StoreResult& result);
  /// Records whether a kind could be read, and logs when that changes.
  void RecordHealth(const WatchedKind& kind, bool succeeded, const std::string& reason);

  boost::asio::io_context& io_;
  HttpClient& client_;
  Metrics& metrics_;
  platform::ObjectStore store_;
  PeerDirectory& peers_;
  std::vector<WatchedKind> kinds_;
  std::map<std::string, WatchedContents> contents_;  ///< By kind name.
  StoreHealth health_;
  StoreBackoff store_backoff_;
  std::optional<int64_t> history_;
  std::function<void()> on_restored_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_OBJECT_MIRROR_H_
