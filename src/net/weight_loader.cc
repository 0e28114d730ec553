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
constexpr Duration kProbeInterval = Millis(200);
// Maximum time to wait for a load. The weight slot then expires by itself.
constexpr Duration kLoadTimeout = Seconds(25);
// Attempts at a conditional write that conflicts with writes of other agents.
constexpr int kMaxWriteAttempts = 8;

std::string Encode(const LeaseObject& lease) {
  return json::serialize(json::object{{"holder", lease.record.holder},
                                      {"fence", lease.record.fence},
                                      {"revision", lease.revision}});
}

/// Returns nothing if the object could not be read or is malformed.
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

/// Returns whether a failed conditional write may be retried after another read.
bool MayRetry(const ObjectWrite& write) {
  return write.conflict || write.outcome == CallOutcome::kUnknown;
}

}  // namespace

struct WeightLoader::RunnerState {
  RunnerState(const Runner& own_runner, OrderLeaseRules lease_rules, const std::string& self,
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
  std::string slot_holder;  ///< Id of this process and runner in the slots object.
  WeightSlots slots;        ///< Content last written by this process.
  WeightSlotRules slot_rules;
  std::string configured_version;
  int64_t revision = 0;
  bool busy = false;                ///< An `UpdateWeights` is in progress.
  int64_t other_lease_version = 0;  ///< Version of another holder's lease object.
  TimePoint other_lease_read_at;    ///< When this version was first read.
};

WeightLoader::WeightLoader(ComponentRegistry& components, const Settings& settings)
    : components_(components),
      settings_(settings),
      config_(components.Find<ConfigService>("config")),
      client_(components.Find<HttpClients>("http_clients").external()),
      objects_(components.Find<ObjectApi>("object_api")),
      platform_timeout_(Millis(settings.platform_timeout_ms)),
      process_name_(absl::StrCat(settings.host, ":", settings.listen_port)) {
  components.Find<TimerService>("timer").Subscribe("weight_loader", kCheckPeriod,
                                                   [this](TimePoint) { CheckRunners(); });
}

WeightLoader::~WeightLoader() = default;

void WeightLoader::CheckRunners() {
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  for (const Runner& runner : config->inventory.runners) {
    if (runner.host != settings_.host) continue;
    const std::shared_ptr<RunnerState> state = StateFor(runner);
    if (state->busy) continue;
    state->busy = true;
    Spawn(components_.io(), "weight_loader", [this, state]() -> Awaitable<void> {
      co_await UpdateWeights(state);
      state->busy = false;
    });
  }
}

std::shared_ptr<WeightLoader::RunnerState> WeightLoader::StateFor(const Runner& runner) {
  const auto found = runners_.find(runner.name);
  if (found != runners_.end()) return found->second;
  OrderLeaseRules rules;
  rules.validity = Millis(config_.current()->inventory.rules.order_lease_ms);
  const Endpoint engine{runner.address, static_cast<uint16_t>(runner.port)};
  auto state = std::make_shared<RunnerState>(runner, rules, process_name_,
                                             MakeHttpEngineClient(client_, engine));
  state->slot_holder = absl::StrCat(process_name_, "/", runner.name);
  return runners_.emplace(runner.name, std::move(state)).first->second;
}

void WeightLoader::ReadConfiguredVersion(RunnerState& state) const {
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const Model* model = FindByName(config->inventory.models, state.runner.model);
  state.configured_version = model == nullptr ? "" : model->version;
  state.revision = config->revision;
  state.slot_rules.slots = static_cast<size_t>(config->inventory.rules.weight_loads);
}

Awaitable<bool> WeightLoader::HasConfiguredVersion(std::shared_ptr<RunnerState> state) {
  const EngineProbe probe = co_await state->engine->Probe(kProbeTimeout);
  co_return probe.load&& probe.load->version == state->configured_version;
}

Awaitable<void> WeightLoader::UpdateWeights(std::shared_ptr<RunnerState> state) {
  ReadConfiguredVersion(*state);
  const EngineProbe probe = co_await state->engine->Probe(kProbeTimeout);
  if (!probe.load || probe.load->version == state->configured_version ||
      state->configured_version.empty())
    co_return;
  if (!co_await AcquireLease(state)) co_return;
  if (co_await AcquireSlot(state)) {
    co_await OrderLoad(state);
    co_await ReleaseSlot(state);
  }
  co_await ReleaseLease(state);
}

Awaitable<void> WeightLoader::OrderLoad(std::shared_ptr<RunnerState> state) {
  if (!co_await AwaitPermission(state)) co_return;
  LoadOrder order;
  order.model = state->runner.model;
  order.version = state->configured_version;
  order.fence = state->lease.fence();
  LogInfo("weight_load_ordered", {{"runner", state->runner.name},
                                  {"version", order.version},
                                  {"fence", absl::StrCat(order.fence)}});
  // The engine responds when the load has ended. A lost response is no failure, because the load
  // report also shows the version.
  const EngineCall call = co_await state->engine->LoadWeights(order, state->rules.order_timeout);
  if (call.refused || call.outcome == CallOutcome::kNotDone) {
    LogWarning("weight_load_refused", {{"runner", state->runner.name}, {"reason", call.failure}});
    co_return;
  }
  co_await AwaitVersion(state);
}

Awaitable<bool> WeightLoader::AwaitPermission(std::shared_ptr<RunnerState> state) {
  const std::string configured_version = state->configured_version;
  while (true) {
    const bool may_order = state->lease.MaySendOrder(SteadyNow());
    if (may_order && HoldsWeightSlot(state->slots, state->slot_holder, UnixMillis())) {
      co_return true;
    }
    co_await SleepFor(state->rules.validity / 4);
    ReadConfiguredVersion(*state);
    if (state->configured_version != configured_version) co_return false;
    if (!co_await RenewLease(state)) co_return false;
    if (!co_await AcquireSlot(state)) co_return false;
  }
}

Awaitable<void> WeightLoader::AwaitVersion(std::shared_ptr<RunnerState> state) {
  const TimePoint end = SteadyNow() + kLoadTimeout;
  while (SteadyNow() < end) {
    if (co_await HasConfiguredVersion(state)) co_return;
    co_await SleepFor(kProbeInterval);
  }
  LogWarning("weight_load_late",
             {{"runner", state->runner.name}, {"version", state->configured_version}});
}

Awaitable<bool> WeightLoader::AcquireSlot(std::shared_ptr<RunnerState> state) {
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const ObjectRead read = co_await objects_.Read(kSlotsObject, platform_timeout_);
    std::optional<WeightSlots> slots = DecodeSlots(read);
    if (!slots) co_return false;
    if (!AcquireWeightSlot(*slots, state->slot_holder, state->slot_rules, UnixMillis())) {
      co_return false;
    }
    const ObjectWrite write =
        co_await objects_.Write(kSlotsObject, Encode(*slots), read.version, platform_timeout_);
    if (write.outcome == CallOutcome::kDone) {
      state->slots = *slots;
      co_return true;
    }
    if (!MayRetry(write)) co_return false;
  }
  co_return false;
}

Awaitable<void> WeightLoader::ReleaseSlot(std::shared_ptr<RunnerState> state) {
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const ObjectRead read = co_await objects_.Read(kSlotsObject, platform_timeout_);
    std::optional<WeightSlots> slots = DecodeSlots(read);
    if (!slots || !slots->contains(state->slot_holder)) co_return;
    ReleaseWeightSlot(*slots, state->slot_holder);
    const ObjectWrite write =
        co_await objects_.Write(kSlotsObject, Encode(*slots), read.version, platform_timeout_);
    if (!MayRetry(write)) co_return;
  }
}

Awaitable<bool> WeightLoader::AcquireLease(std::shared_ptr<RunnerState> state) {
  const ObjectRead read = co_await objects_.Read(state->lease_object(), platform_timeout_);
  std::optional<LeaseObject> lease = DecodeLease(read);
  if (!lease || lease->revision > state->revision) co_return false;
  const std::string& holder = lease->record.holder;
  if (!holder.empty() && holder != process_name_) {
    // A live holder renews the lease, which changes the object's version. Without this delay, two
    // live agents would take the lease from each other forever.
    const TimePoint now = SteadyNow();
    if (read.version != state->other_lease_version) state->other_lease_read_at = now;
    state->other_lease_version = read.version;
    if (now - state->other_lease_read_at < state->rules.validity) co_return false;
  }
  lease->record = state->lease.Propose(lease->record);
  lease->revision = state->revision;
  co_return co_await WriteLease(state, *lease, read.version);
}

Awaitable<bool> WeightLoader::WriteLease(std::shared_ptr<RunnerState> state, LeaseObject lease,
                                         int64_t version) {
  const TimePoint write_start = SteadyNow();
  const ObjectWrite write =
      co_await objects_.Write(state->lease_object(), Encode(lease), version, platform_timeout_);
  if (write.outcome != CallOutcome::kDone) co_return false;
  state->lease.OnWritten(lease.record, write_start, SteadyNow());
  co_return true;
}

bool WeightLoader::IsOwnLease(const RunnerState& state, const LeaseObject& lease) const {
  return lease.record.holder == process_name_ && lease.record.fence == state.lease.fence();
}

Awaitable<bool> WeightLoader::RenewLease(std::shared_ptr<RunnerState> state) {
  const ObjectRead read = co_await objects_.Read(state->lease_object(), platform_timeout_);
  const std::optional<LeaseObject> lease = DecodeLease(read);
  if (!lease || !IsOwnLease(*state, *lease)) co_return false;
  co_return co_await WriteLease(state, *lease, read.version);
}

Awaitable<void> WeightLoader::ReleaseLease(std::shared_ptr<RunnerState> state) {
  const ObjectRead read = co_await objects_.Read(state->lease_object(), platform_timeout_);
  std::optional<LeaseObject> lease = DecodeLease(read);
  if (!lease || !IsOwnLease(*state, *lease)) co_return;
  lease->record.holder.clear();
  co_await objects_.Write(state->lease_object(), Encode(*lease), read.version, platform_timeout_);
}

}  // namespace fuchsiaweir
