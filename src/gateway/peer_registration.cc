#include "gateway/peer_registration.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <string>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kRetryDelay = Millis(600);

}  // namespace

Awaitable<void> RegisterPeer(platform::ObjectStore& store, GatewaySettings settings,
                             PlatformRole role) {
  const boost::json::value spec =
      boost::json::object{{"address", ToString(settings.peer_endpoint())},
                          {"data_centre", settings.data_centre},
                          {"link_mbps", settings.link_mbps},
                          {"role", role == PlatformRole::kGateway ? "gateway" : "sidecar"}};
  const std::string kind = kPeerKind;
  while (true) {
    platform::StoreResult result = co_await store.Create(kind, settings.name, spec);
    if (result.outcome == platform::StoreOutcome::kConflict) {
      // An earlier process on this host registered, maybe with another address. The store ignores
      // writes of equal content, so an equal entry is left as it is.
      platform::StoreResult existing = co_await store.Read(kind, settings.name);
      if (existing.outcome == platform::StoreOutcome::kDone && !existing.objects.empty()) {
        if (existing.objects.front().content == spec) co_return;
        result = co_await store.Replace(kind, settings.name, existing.revision, spec);
      }
    }
    if (result.outcome == platform::StoreOutcome::kDone) {
      LogInfo("registered", {{"address", ToString(settings.peer_endpoint())},
                             {"revision", absl::StrCat(result.revision)}});
      co_return;
    }
    LogInfo("not_registered",
            {{"outcome", std::string(platform::Name(result.outcome))}, {"reason", result.failure}});
    co_await SleepFor(kRetryDelay);
  }
}

}  // namespace fuchsiaweir
