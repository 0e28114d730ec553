#ifndef FUCHSIAWEIR_NET_SUSPECT_SERVICE_H_
#define FUCHSIAWEIR_NET_SUSPECT_SERVICE_H_

#include <string>

#include "core/poison_tracker.h"
#include "core/settings.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Shares records of requests that crashed their targets among the entries. Records are sent to the
/// other entries directly and stored in a platform object, which an entry reads at startup.
class SuspectService : public Component {
 public:
  SuspectService(ComponentRegistry& components, const Settings& settings);

  void Start() override;
  Awaitable<void> Stop() override;

  /// Returns how the request with this digest may be dispatched.
  PoisonVerdict Decide(const std::string& digest) const;

  /// Records that `instance` crashed while it ran the request. Sends the record to the peers and
  /// stores it.
  void ReportCrash(const std::string& digest, const std::string& instance);

  /// Records that a suspect request completed.
  void ReportCompletion(const std::string& digest) { tracker_.RecordCompletion(digest); }

  /// Handles POST /internal/v1/suspects.
  Awaitable<void> Serve(HttpExchange& exchange);

 private:
  Awaitable<void> Load();
  Awaitable<void> Store();
  Awaitable<bool> StoreOnce();
  Awaitable<void> SendToPeer(Endpoint peer, std::string records);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ConfigService& config_;
  ObjectApi& objects_;
  HttpClient& peers_;
  PoisonTracker tracker_;
  bool storing_ = false;
  bool unsaved_changes_ = false;  ///< Records were added since the last write began.
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_SUSPECT_SERVICE_H_
