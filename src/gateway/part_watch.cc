#include "gateway/part_watch.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/link_budget.h"
#include "core/rendezvous.h"
#include "core/token_demand.h"
#include "net/log.h"
#include "platform/field_access.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr char kPartsPath[] = "/internal/v1/parts";
constexpr Duration kWatchTimeout = Millis(1000);
/// Delay between two calls. Changes come in bursts, so one call then returns several of them.
constexpr Duration kWatchDelay = Millis(100);
constexpr Duration kRetryDelay = Millis(400);
constexpr Duration kPeerWatchTimeout = Millis(800);
constexpr Duration kListPollInterval = Millis(50);
/// Text of a list that is being read, about 250,000 parts.
constexpr int64_t kListBytes = 8'000'000;
constexpr Duration kPeerPollInterval = Millis(50);
constexpr Duration kPeerTimeout = Millis(1500);
/// Time from the start of a save, when the store reserves memory for the part, until a gateway sees
/// the part in the store's changes.
constexpr double kContentsLagSeconds = 0.8;
/// Share of a store's watchers that gateways use. The rest is for other clients and reconnects.
constexpr double kWatcherShare = 0.5;
/// Delay before parts of replaced weights are freed. Longer than any fetch, which ends after a
/// share of a request's objective.
constexpr Duration kFreeDelay = Seconds(3);
/// Maximum number of parts that one call frees.
constexpr size_t kMaxFreedParts = 200;
/// Changes that a gateway keeps for its peers. A peer that is further behind gets the whole
/// contents.
constexpr size_t kMaxHistory = 3'000;

json::value Encode(const CacheChanges& changes, bool full) {
  json::array rows;
  for (const CacheChange& change : changes.changes) {
    rows.push_back(json::array{change.added, change.salt, change.id, change.tokens});
  }
  return json::object{{"epoch", changes.epoch},
                      {"next", changes.next},
                      {"all", full},
                      {"changes", std::move(rows)}};
}

/// Returns nothing if a field is missing or has another type.
std::optional<CacheChanges> Decode(const json::object& object) {
  if (!platform::NumberAt(object, "epoch") || !platform::NumberAt(object, "next")) {
    return std::nullopt;
  }
  CacheChanges changes;
  changes.epoch = platform::IntegerAt(object, "epoch");
  changes.next = platform::IntegerAt(object, "next");
  for (const json::value& item : platform::ArrayAt(object, "changes")) {
    const json::array* row = item.if_array();
    if (row == nullptr || row->size() < 4 || !(*row)[0].is_bool() || !(*row)[1].is_string() ||
        !(*row)[2].is_string()) {
      return std::nullopt;
    }
    const std::optional<int64_t> tokens = platform::ToInteger((*row)[3], platform::kCounts);
    if (!tokens) return std::nullopt;
    changes.changes.push_back({(*row)[0].as_bool(), std::string((*row)[1].as_string()),
                               std::string((*row)[2].as_string()), *tokens});
  }
  return changes;
}

}  // namespace

struct PartWatch::Store {
  std::string service;
  StoreSpec spec;
  StoreContents contents;
  TokenDemand save_demand;  ///< Demand of the saves that this gateway planned.
  LinkBudget link;
  bool removed = false;
  /// Recent changes, each with the position that follows it.
  std::deque<std::pair<int64_t, CacheChange>> history;
  int64_t history_begin = 0;        ///< Position from which the history is complete.
  int64_t min_weights_version = 0;  ///< Lowest weights version of all runners.
  TimePoint min_version_since;

  Endpoint endpoint() const { return {spec.address, spec.port}; }
};

PartWatch::PartWatch(ComponentRegistry& components, FleetView& view, MemoryBudget& memory)
    : io_(components.io()),
      view_(view),
      client_(components.Find<HttpClients>("http_clients").external()),
      memory_(memory) {
  view.AddTableListener([this](const RouteTable& table) { OnTable(table); });
}

void PartWatch::Start() {}

Awaitable<void> PartWatch::Stop() {
  stopping_ = true;
  co_return;
}

std::vector<StoreCandidate> PartWatch::Stores() const {
  std::vector<StoreCandidate> candidates;
  const TimePoint now = SteadyNow();
  const auto gateways = static_cast<double>(std::max<size_t>(1, view_.gateways().size()));
  for (const auto& [address, store] : stores_) {
    if (!store->contents.known()) continue;
    candidates.push_back(
        {address, store->spec.capacity_tokens, &store->contents, store->spec.data_centre,
         store->spec.bytes_per_second,
         store->save_demand.Estimate(now).tokens_per_s * gateways * kContentsLagSeconds,
         store->link.Admits(now)});
  }
  return candidates;
}

void PartWatch::OnPlanned(const std::vector<PromptPart>& parts, const PartPlan& plan,
                          const std::string& data_centre, int64_t cache_bytes_per_token) {
  const TimePoint now = SteadyNow();
  const auto gateways = static_cast<double>(view_.gateways().size());
  const auto record = [&](const std::string& address, int64_t tokens, bool save) {
    const auto found = stores_.find(address);
    if (found == stores_.end()) return;
    Store& store = *found->second;
    const int64_t link_tokens = TransferCostTokens(store.spec.data_centre, data_centre, tokens);
    store.link.OnTransfer(static_cast<double>(link_tokens * cache_bytes_per_token),
                          store.spec.bytes_per_second, gateways, now);
    if (save) store.save_demand.OnSent(tokens, 0, now);
  };
  for (size_t i = 0; i < plan.fetch_from.size(); ++i) {
    record(plan.fetch_from[i], parts[i].tokens, false);
  }
  for (size_t i = 0; i < plan.save_to.size(); ++i) record(plan.save_to[i], parts[i].tokens, true);
}

void PartWatch::OnTable(const RouteTable& table) {
  std::map<std::string, std::shared_ptr<Store>> next;
  for (const auto& [name, service] : table.services) {
    if (!service.store) continue;
    const std::string address = ToString(Endpoint{service.store->address, service.store->port});
    auto found = stores_.find(address);
    if (found != stores_.end()) {
      found->second->spec = *service.store;
      next[address] = found->second;
      stores_.erase(found);
      continue;
    }
    auto store = std::make_shared<Store>();
    store->service = name;
    store->spec = *service.store;
    next[address] = store;
    SpawnService(io_, "follow_store", [this, store]() { return WatchStore(store); });
  }
  for (auto& [address, store] : stores_) store->removed = true;
  stores_ = std::move(next);
}

std::optional<Endpoint> PartWatch::ChoosePeer(const Store& store) const {
  const size_t watchers = static_cast<size_t>(
      std::max(1.0, static_cast<double>(store.spec.max_watchers) * kWatcherShare));
  const std::vector<std::string>& gateways = view_.live_gateways();
  if (gateways.size() <= watchers) return std::nullopt;
  const std::vector<std::string> chosen =
      RendezvousTop(ToString(store.endpoint()), gateways, watchers);
  const std::string& self = view_.settings().name;
  if (std::find(chosen.begin(), chosen.end(), self) != chosen.end()) return std::nullopt;
  const std::string source = RendezvousTop(self, chosen, 1).front();
  const auto peer = view_.peers().find(source);
  if (peer == view_.peers().end()) return std::nullopt;
  return peer->second.endpoint;
}

Awaitable<void> PartWatch::WatchStore(std::shared_ptr<Store> store) {
  bool lost = false;
  while (!stopping_ && !store->removed) {
    const std::optional<Endpoint> peer = ChoosePeer(*store);
    bool succeeded = false;
    if (peer) {
      succeeded = co_await ReadFromPeer(*store, *peer);
    } else {
      succeeded = co_await ReadFromStore(*store);
    }
    if (succeeded == lost) {
      lost = !succeeded;
      LogInfo(lost ? "part_store_lost" : "part_store_regained",
              {{"store", ToString(store->endpoint())},
               {"source", peer ? ToString(*peer) : "itself"},
               {"parts", absl::StrCat(store->contents.size())}});
    }
    if (succeeded && !peer) co_await FreeStaleParts(*store);
    co_await SleepFor(succeeded ? kWatchDelay : kRetryDelay);
  }
}

Awaitable<bool> PartWatch::ReadFromStore(Store& store) {
  if (!store.contents.known()) co_return co_await ReadList(store);
  Endpoint endpoint = store.endpoint();
  const std::optional<CacheChanges> changes = co_await platform::ReadCacheEvents(
      client_, std::move(endpoint), store.contents.next(), kWatchTimeout);
  if (!changes) {
    // A store that does not answer may have crashed. It restarts empty, with another epoch.
    store.contents.MarkUnknown();
    co_return false;
  }
  ApplyChanges(store, *changes, false);
  co_return true;
}

// Load pattern: several stores with hundreds of thousands of parts each, read at the start. The
// text of two lists at once would exceed the memory of the smallest host.
Awaitable<bool> PartWatch::ReadList(Store& store) {
  while (reading_list_) co_await SleepFor(kListPollInterval);
  reading_list_ = true;
  memory_.AddFixed(MemoryUse::kParts, kListBytes);
  const absl::Cleanup read = [this]() {
    reading_list_ = false;
    memory_.AddFixed(MemoryUse::kParts, -kListBytes);
  };
  Endpoint endpoint = store.endpoint();
  std::optional<StoreContents> contents =
      co_await platform::ReadCacheList(client_, std::move(endpoint));
  if (!contents) co_return false;
  store.contents = std::move(*contents);
  store.history.clear();
  store.history_begin = store.contents.next();
  CountMemory();
  co_return true;
}

void PartWatch::CountMemory() {
  int64_t bytes = 0;
  for (const auto& [address, store] : stores_) bytes += store->contents.memory_bytes();
  memory_.AddFixed(MemoryUse::kParts, bytes - counted_bytes_);
  counted_bytes_ = bytes;
}

Awaitable<bool> PartWatch::ReadFromPeer(Store& store, const Endpoint& peer) {
  const bool known = store.contents.known();
  HttpRequest request{"GET",
                      absl::StrCat(kPartsPath, "?store=", PercentEncode(ToString(store.endpoint())),
                                   "&epoch=", known ? store.contents.epoch() : 0,
                                   "&since=", known ? store.contents.next() : -1),
                      {},
                      ""};
  CallOptions options;
  options.timeout = kPeerTimeout;
  options.connect_timeout = kPeerTimeout / 4;
  const HttpResult result = co_await client_.Call(peer, std::move(request), options);
  if (!result.ok()) {
    store.contents.MarkUnknown();
    co_return false;
  }
  boost::system::error_code failure;
  const json::value value = json::parse(result.response->body, failure);
  std::optional<CacheChanges> changes =
      failure || !value.is_object() ? std::nullopt : Decode(value.as_object());
  if (!changes) {
    LogWarning("parts_malformed", {{"store", store.service}});
    store.contents.MarkUnknown();
    co_return false;
  }
  ApplyChanges(store, *changes, platform::BooleanAt(value.as_object(), "all"));
  co_return true;
}

int64_t PartWatch::MinWeightsVersion() const {
  int64_t min_version = 0;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.model.empty() || state.replaced) continue;
    if (state.record.weights_version == 0) return 0;
    if (min_version == 0 || state.record.weights_version < min_version) {
      min_version = state.record.weights_version;
    }
  }
  return min_version;
}

Awaitable<void> PartWatch::FreeStaleParts(Store& store) {
  const int64_t min_version = MinWeightsVersion();
  const TimePoint now = SteadyNow();
  if (min_version != store.min_weights_version) {
    store.min_weights_version = min_version;
    store.min_version_since = now;
  }
  // A fetch that began just before the last runner changed its weights may still be running.
  if (min_version == 0 || now - store.min_version_since < kFreeDelay) co_return;
  // One gateway frees the parts of a store. While the gateways' views of each other differ, a
  // second one may free the same parts.
  const std::vector<std::string> owner =
      RendezvousTop(ToString(store.endpoint()), view_.live_gateways(), 1);
  if (owner.empty() || owner.front() != view_.settings().name) co_return;
  std::vector<CacheChange> parts = store.contents.PartsBefore(min_version, kMaxFreedParts);
  if (parts.empty()) co_return;
  const std::string count = absl::StrCat(parts.size());
  Endpoint endpoint = store.endpoint();
  const bool freed = co_await platform::FreeParts(client_, std::move(endpoint),
                                                  store.contents.epoch(), std::move(parts));
  LogInfo("parts_freed", {{"store", ToString(store.endpoint())},
                          {"parts", count},
                          {"weights_before", absl::StrCat(min_version)},
                          {"done", freed ? "yes" : "no"}});
}

void PartWatch::ApplyChanges(Store& store, const CacheChanges& changes, bool full) {
  const int64_t position = store.contents.next();
  if (full) {
    store.contents.Reset(changes);
    store.history.clear();
    store.history_begin = changes.next;
  } else if (!store.contents.Apply(changes)) {
    LogInfo("part_store_changes_missing", {{"store", ToString(store.endpoint())},
                                           {"epoch", absl::StrCat(changes.epoch)},
                                           {"position", absl::StrCat(position)}});
    store.history.clear();
    CountMemory();
    return;
  }
  for (const CacheChange& change : changes.changes) {
    if (!full) store.history.emplace_back(changes.next, change);
  }
  while (store.history.size() > kMaxHistory) {
    store.history_begin = store.history.front().first;
    store.history.pop_front();
  }
  CountMemory();
}

Awaitable<HttpResponse> PartWatch::ServePeer(HttpTarget target) {
  const auto found = stores_.find(target.Query("store"));
  if (found == stores_.end()) co_return HttpResponse{404, {}, ""};
  const std::shared_ptr<Store> store = found->second;
  const int64_t epoch = target.QueryInteger("epoch", 0);
  const int64_t since = target.QueryInteger("since", -1);
  for (Duration waited{0}; waited < kPeerWatchTimeout; waited += kPeerPollInterval) {
    const StoreContents& contents = store->contents;
    if (!contents.known() || contents.epoch() != epoch || contents.next() != since) break;
    co_await SleepFor(kPeerPollInterval);
  }
  if (!store->contents.known()) co_return HttpResponse{503, {}, ""};
  CacheChanges changes;
  changes.epoch = store->contents.epoch();
  changes.next = store->contents.next();
  const bool full = changes.epoch != epoch || since < store->history_begin;
  if (full) {
    store->contents.ForEach([&](const std::string& salt, const std::string& id, int64_t tokens) {
      changes.changes.push_back({true, salt, id, tokens});
    });
  } else {
    for (const auto& [next, change] : store->history) {
      if (next > since) changes.changes.push_back(change);
    }
  }
  co_return JsonResponse(200, json::serialize(Encode(changes, full)));
}

}  // namespace fuchsiaweir
