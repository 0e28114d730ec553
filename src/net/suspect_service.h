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

/// Shares between entries which requests crashed their targets. Records go to the other entries
/// directly and to a platform object, from which a new entry reads them at its start.
class SuspectService : public Component {
 public:
  SuspectService(ComponentRegistry& components, const Settings& settings);

  void Start() override;
  Awaitable<void> Stop() override;

  /// Returns how the request with this digest may be dispatched.
  PoisonVerdict Decide(const std::string& digest) const;

  /// Records that `instance` crashed while it ran the request, and tells the others.
  void ReportCrash(const std::string& digest, const std::string& instance);

  /// Records that a suspect request completed.
  void ReportCompletion(const std::string& digest) { tracker_.RecordCompletion(digest); }

  /// Answers POST /internal/v1/suspects.
  Awaitable<void> Serve(HttpExchange& exchange);

 private:
  Awaitable<void> Load();
  Awaitable<void> Store();
  Awaitable<bool> StoreOnce();
  Awaitable<void> TellPeer(Endpoint peer, std::string records);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ConfigService& config_;
  ObjectApi& objects_;
  HttpClient& peers_;
  PoisonTracker tracker_;
  bool storing_ = false;
  bool changed_ = false;  ///< Records were added since the last write began.
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_SUSPECT_SERVICE_H_
