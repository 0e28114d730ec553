#ifndef FUCHSIAWEIR_GATEWAY_PART_WATCH_H_
#define FUCHSIAWEIR_GATEWAY_PART_WATCH_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/memory_budget.h"
#include "core/part_directory.h"
#include "gateway/fleet_view.h"

namespace fuchsiaweir {

/// Tracks the contents of the stores of cached KV parts. A store serves a bounded number of
/// watchers, so a few gateways watch each store and the others read its contents from these.
class PartWatch : public Component {
 public:
  PartWatch(ComponentRegistry& components, FleetView& view, MemoryBudget& memory);

  /// Returns the stores whose contents are known.
  std::vector<StoreCandidate> Stores() const;
  /// Records the transfers that a request was sent with. `cache_bytes_per_token` is the size of a
  /// token's KV cache.
  void OnPlanned(const std::vector<PromptPart>& parts, const PartPlan& plan,
                 const std::string& data_centre, int64_t cache_bytes_per_token);
  /// Serves a store's changes to another gateway. The target's query names store, epoch and
  /// position.
  Awaitable<HttpResponse> ServePeer(HttpTarget target);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  struct Store;

  void OnTable(const RouteTable& table);
  Awaitable<void> WatchStore(std::shared_ptr<Store> store);
  Awaitable<bool> ReadFromStore(Store& store);
  /// Reads the whole contents, one store at a time.
  Awaitable<bool> ReadList(Store& store);
  Awaitable<bool> ReadFromPeer(Store& store, const Endpoint& peer);
  /// Frees parts of weights that no runner uses any more.
  Awaitable<void> FreeStaleParts(Store& store);
  /// Lowest weights version of all runners; 0 if one is unknown.
  int64_t MinWeightsVersion() const;
  /// Applies changes, or the whole contents if `full`.
  void ApplyChanges(Store& store, const CacheChanges& changes, bool full);
  /// Returns the gateway to read the store's contents from, or nothing to watch the store itself.
  std::optional<Endpoint> ChoosePeer(const Store& store) const;

  boost::asio::io_context& io_;
  FleetView& view_;
  HttpClient& client_;
  /// Counts the memory of all contents.
  void CountMemory();

  MemoryBudget& memory_;
  int64_t counted_bytes_ = 0;
  bool reading_list_ = false;
  std::map<std::string, std::shared_ptr<Store>> stores_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PART_WATCH_H_
