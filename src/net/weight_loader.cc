#include "net/weight_loader.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "core/json_fields.h"
#include "core/order_lease.h"
#include "core/unix_time.h"
#include "net/engine_client.h"
#include "net/log.h"
#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr char kSlotsObject[] = "weights/slots";
constexpr Duration kCheckPeriod = Millis(500);
constexpr Duration kProbeTimeout = Seconds(1);
constexpr Duration kProbePause = Millis(200);
/// Longest time that a load is waited for; the slot then runs out by itself.
constexpr Duration kLoadLimit = Seconds(25);
/// Attempts at a conditional write that other agents overtake.
constexpr int kWriteAttempts = 8;

std::string Encode(const LeaseObject& lease) {
  return json::serialize(json::object{{"holder", lease.record.holder},
                                      {"fence", lease.record.fence},
                                      {"revision", lease.revision}});
}

/// Returns nothing when the object could not be read or is malformed.
std::optional<LeaseObject> DecodeLease(const ObjectRead& read) {
  if (read.outcome != CallOutcome::kDone) return std::nullopt;
  LeaseObject lease;
  if (!read.found) return lease;
  try {
    const json::object object = ParseJsonObject(read.value);
    lease.record.holder = StringField(object, "holder");
    lease.record.fence = IntegerField(object, "fence");
    lease.revision = IntegerField(object, "revision");
    return lease;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string Encode(const WeightSlots& slots) {
  json::object object;
  for (const auto& [holder, until] : slots) object[holder] = until;
  return json::serialize(object);
}

std::optional<WeightSlots> DecodeSlots(const ObjectRead& read) {
  if (read.outcome != CallOutcome::kDone) return std::nullopt;
  WeightSlots slots;
  if (!read.found) return slots;
  try {
    for (const auto& [holder, until] : ParseJsonObject(read.value)) {
      slots[std::string(holder)] = until.to_number<int64_t>();
    }
    return slots;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Whether a conditional write that did not succeed may be tried again after a read.
bool MayRepeat(const ObjectWrite& write) {
  return write.conflict || write.outcome == CallOutcome::kUnknown;
}

}  // namespace

struct WeightLoader::Target {
  Target(const Runner& own_runner, OrderLeaseRules lease_rules, const std::string& self,
         std::unique_ptr<EngineClient> engine_client)
      : runner(own_runner),
        rules(lease_rules),
        lease(lease_rules, self, own_runner.checks_fence),
        engine(std::move(engine_client)) {}

  std::string lease_object() const { return "leases/" + runner.name; }

  Runner runner;
  OrderLeaseRules rules;
  OrderLease lease;
  std::unique_ptr<EngineClient> engine;
  std::string slot;   ///< Name of this process and runner in the slots.
  WeightSlots slots;  ///< As last written by this process.
  WeightSlotRules slot_rules;
  std::string wanted;
  int64_t revision = 0;
  bool busy = false;
  int64_t seen_version = 0;  ///< Version of another holder's lease object, and since when.
  TimePoint seen_since;
};

WeightLoader::WeightLoader(ComponentRegistry& components, const Settings& settings)
    : components_(components),
      settings_(settings),
      config_(components.Find<ConfigService>("config")),
      client_(components.Find<HttpClients>("http_clients").external()),
      objects_(components.Find<ObjectApi>("object_api")),
      platform_timeout_(Millis(settings.platform_timeout_ms)),
      self_(absl::StrCat(settings.host, ":", settings.listen_port)) {
  components.Find<TimerService>("timer").Subscribe("weight_loader", kCheckPeriod,
                                                   [this](TimePoint) { CheckRunners(); });
}

WeightLoader::~WeightLoader() = default;

void WeightLoader::CheckRunners() {
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  for (const Runner& runner : config->inventory.runners) {
    if (runner.host != settings_.host) continue;
    const std::shared_ptr<Target> target = TargetOf(runner);
    if (target->busy) continue;
    target->busy = true;
    Spawn(components_.io(), "weight_loader", [this, target]() -> Awaitable<void> {
      co_await Update(target);
      target->busy = false;
    });
  }
}

std::shared_ptr<WeightLoader::Target> WeightLoader::TargetOf(const Runner& runner) {
  const auto found = targets_.find(runner.name);
  if (found != targets_.end()) return found->second;
  OrderLeaseRules rules;
  rules.validity = Millis(config_.current()->inventory.rules.order_lease_ms);
  const Endpoint engine{runner.address, static_cast<uint16_t>(runner.port)};
  auto target =
      std::make_shared<Target>(runner, rules, self_, MakeHttpEngineClient(client_, engine));
  target->slot = absl::StrCat(self_, "/", runner.name);
  return targets_.emplace(runner.name, std::move(target)).first->second;
}

void WeightLoader::ReadWanted(Target& target) const {
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const Model* model = FindByName(config->inventory.models, target.runner.model);
  target.wanted = model == nullptr ? "" : model->version;
  target.revision = config->revision;
  target.slot_rules.slots = static_cast<size_t>(config->inventory.rules.weight_loads);
}

Awaitable<bool> WeightLoader::HasWantedVersion(std::shared_ptr<Target> target) {
  const EngineProbe probe = co_await target->engine->Probe(kProbeTimeout);
  co_return probe.load&& probe.load->version == target->wanted;
}

Awaitable<void> WeightLoader::Update(std::shared_ptr<Target> target) {
  ReadWanted(*target);
  const EngineProbe probe = co_await target->engine->Probe(kProbeTimeout);
  if (!probe.load || probe.load->version == target->wanted || target->wanted.empty()) co_return;
  if (!co_await TakeLease(target)) co_return;
  if (co_await TakeSlot(target)) {
    co_await Order(target);
    co_await ReleaseSlot(target);
  }
  co_await ReleaseLease(target);
}

Awaitable<void> WeightLoader::Order(std::shared_ptr<Target> target) {
  if (!co_await AwaitPermission(target)) co_return;
  LoadOrder order;
  order.model = target->runner.model;
  order.version = target->wanted;
  order.fence = target->lease.fence();
  LogInfo("weight_load_ordered", {{"runner", target->runner.name},
                                  {"version", order.version},
                                  {"fence", absl::StrCat(order.fence)}});
  // The engine answers when the load has ended; the load report tells that too.
  const EngineCall call = co_await target->engine->LoadWeights(order, target->rules.order_timeout);
  if (call.refused || call.outcome == CallOutcome::kNotDone) {
    LogWarning("weight_load_refused", {{"runner", target->runner.name}, {"reason", call.failure}});
    co_return;
  }
  co_await AwaitVersion(target);
}

Awaitable<bool> WeightLoader::AwaitPermission(std::shared_ptr<Target> target) {
  const std::string wanted = target->wanted;
  while (true) {
    const bool may_order = target->lease.MaySendOrder(SteadyNow());
    if (may_order && HoldsWeightSlot(target->slots, target->slot, UnixMillis())) co_return true;
    co_await SleepFor(target->rules.validity / 4);
    ReadWanted(*target);
    if (target->wanted != wanted) co_return false;
    if (!co_await RenewLease(target)) co_return false;
    if (!co_await TakeSlot(target)) co_return false;
  }
}

Awaitable<void> WeightLoader::AwaitVersion(std::shared_ptr<Target> target) {
  const TimePoint end = SteadyNow() + kLoadLimit;
  while (SteadyNow() < end) {
    if (co_await HasWantedVersion(target)) co_return;
    co_await SleepFor(kProbePause);
  }
  LogWarning("weight_load_late", {{"runner", target->runner.name}, {"version", target->wanted}});
}

Awaitable<bool> WeightLoader::TakeSlot(std::shared_ptr<Target> target) {
  for (int attempt = 0; attempt < kWriteAttempts; ++attempt) {
    const ObjectRead read = co_await objects_.Read(kSlotsObject, platform_timeout_);
    std::optional<WeightSlots> slots = DecodeSlots(read);
    if (!slots) co_return false;
    if (!AcquireWeightSlot(*slots, target->slot, target->slot_rules, UnixMillis())) co_return false;
    const ObjectWrite write =
        co_await objects_.Write(kSlotsObject, Encode(*slots), read.version, platform_timeout_);
    if (write.outcome == CallOutcome::kDone) {
      target->slots = *slots;
      co_return true;
    }
    if (!MayRepeat(write)) co_return false;
  }
  co_return false;
}

Awaitable<void> WeightLoader::ReleaseSlot(std::shared_ptr<Target> target) {
  for (int attempt = 0; attempt < kWriteAttempts; ++attempt) {
    const ObjectRead read = co_await objects_.Read(kSlotsObject, platform_timeout_);
    std::optional<WeightSlots> slots = DecodeSlots(read);
    if (!slots || !slots->contains(target->slot)) co_return;
    ReleaseWeightSlot(*slots, target->slot);
    const ObjectWrite write =
        co_await objects_.Write(kSlotsObject, Encode(*slots), read.version, platform_timeout_);
    if (!MayRepeat(write)) co_return;
  }
}

Awaitable<bool> WeightLoader::TakeLease(std::shared_ptr<Target> target) {
  const ObjectRead read = co_await objects_.Read(target->lease_object(), platform_timeout_);
  std::optional<LeaseObject> lease = DecodeLease(read);
  if (!lease || lease->revision > target->revision) co_return false;
  const std::string& holder = lease->record.holder;
  if (!holder.empty() && holder != self_) {
    // A live holder renews, which changes the version; taking over at once would let two live
    // agents take the lease from each other for ever.
    const TimePoint now = SteadyNow();
    if (read.version != target->seen_version) target->seen_since = now;
    target->seen_version = read.version;
    if (now - target->seen_since < target->rules.validity) co_return false;
  }
  lease->record = target->lease.Propose(lease->record);
  lease->revision = target->revision;
  co_return co_await WriteLease(target, *lease, read.version);
}

Awaitable<bool> WeightLoader::WriteLease(std::shared_ptr<Target> target, LeaseObject lease,
                                         int64_t version) {
  const TimePoint began = SteadyNow();
  const ObjectWrite write =
      co_await objects_.Write(target->lease_object(), Encode(lease), version, platform_timeout_);
  if (write.outcome != CallOutcome::kDone) co_return false;
  target->lease.OnWritten(lease.record, began, SteadyNow());
  co_return true;
}

bool WeightLoader::Holds(const Target& target, const LeaseObject& lease) const {
  return lease.record.holder == self_ && lease.record.fence == target.lease.fence();
}

Awaitable<bool> WeightLoader::RenewLease(std::shared_ptr<Target> target) {
  const ObjectRead read = co_await objects_.Read(target->lease_object(), platform_timeout_);
  const std::optional<LeaseObject> lease = DecodeLease(read);
  if (!lease || !Holds(*target, *lease)) co_return false;
  co_return co_await WriteLease(target, *lease, read.version);
}

Awaitable<void> WeightLoader::ReleaseLease(std::shared_ptr<Target> target) {
  const ObjectRead read = co_await objects_.Read(target->lease_object(), platform_timeout_);
  std::optional<LeaseObject> lease = DecodeLease(read);
  if (!lease || !Holds(*target, *lease)) co_return;
  lease->record.holder.clear();
  co_await objects_.Write(target->lease_object(), Encode(*lease), read.version, platform_timeout_);
}

}  // namespace fuchsiaweir
