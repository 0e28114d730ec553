#ifndef FUCHSIAWEIR_GATEWAY_PART_WATCH_H_
#define FUCHSIAWEIR_GATEWAY_PART_WATCH_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/part_directory.h"
#include "gateway/fleet_view.h"

namespace fuchsiaweir {

/// Follows what the stores of kept KV cache hold. A few gateways ask each store itself, since a
/// store answers a bounded number of watchers; the others ask these gateways.
class PartWatch : public Component {
 public:
  PartWatch(Kernel& kernel, FleetView& view);

  /// The stores whose contents are known.
  std::vector<StoreCandidate> Stores() const;
  /// Notes the transfers that a request was sent with. `cache_bytes_per_token` is the size of a
  /// token's KV cache.
  void OnPlanned(const std::vector<PromptPart>& parts, const PartPlan& plan,
                 const std::string& data_centre, int64_t cache_bytes_per_token);
  /// Answers a gateway that asks for changes: the target's query names store, epoch and position.
  Awaitable<HttpResponse> ServePeer(HttpTarget target);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  struct Store;

  void OnTable(const RouteTable& table);
  Awaitable<void> Follow(std::shared_ptr<Store> store);
  Awaitable<bool> FollowDirectly(Store& store);
  Awaitable<bool> FollowPeer(Store& store, const Endpoint& peer);
  /// Frees parts of weights that no runner has any more.
  Awaitable<void> FreeStale(Store& store);
  /// Lowest weights version of all runners; 0 when one is unknown.
  int64_t LowestVersion() const;
  void Learn(Store& store, const CacheChanges& changes, bool all);
  /// Returns the gateway to ask about the store, or nothing when this process asks the store.
  std::optional<Endpoint> Source(const Store& store) const;

  boost::asio::io_context& io_;
  FleetView& view_;
  HttpClient& client_;
  std::map<std::string, std::shared_ptr<Store>> stores_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PART_WATCH_H_
