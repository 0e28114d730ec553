#include "net/suspect_service.h"

#include <utility>

#include "core/crash_records.h"
#include "core/unix_time.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr char kSuspectsObject[] = "suspects/current";
constexpr Duration kRetryDelay = Seconds(2);
constexpr Duration kPeerTimeout = Seconds(2);
/// 4,000 records of about 200 bytes stay below the object API's limit of 1 MB.
constexpr size_t kMaxRecords = 4'000;

PoisonRules TrackerRules() {
  PoisonRules rules;
  rules.max_records = kMaxRecords;
  return rules;
}

}  // namespace

SuspectService::SuspectService(ComponentRegistry& components, const Settings& settings)
    : io_(components.io()),
      settings_(settings),
      config_(components.Find<ConfigService>("config")),
      objects_(components.Find<ObjectApi>("object_api")),
      peers_(components.Find<HttpClients>("http_clients").peers()),
      tracker_(TrackerRules()) {}

void SuspectService::Start() {
  Spawn(io_, "suspects_load", [this]() { return Load(); });
}

Awaitable<void> SuspectService::Stop() {
  stopping_ = true;
  co_return;
}

PoisonVerdict SuspectService::Decide(const std::string& digest) const {
  return tracker_.Decide(digest, UnixMillis());
}

Awaitable<void> SuspectService::Load() {
  while (!stopping_) {
    const ObjectRead read =
        co_await objects_.Read(kSuspectsObject, Millis(settings_.platform_timeout_ms));
    if (read.outcome == CallOutcome::kDone) {
      const Result<CrashRecords> records = DecodeCrashRecords(read.found ? read.value : "{}");
      if (records) tracker_.Merge(records.value(), UnixMillis());
      co_return;
    }
    co_await SleepFor(kRetryDelay);
  }
}

void SuspectService::ReportCrash(const std::string& digest, const std::string& instance) {
  const CrashRecords records = tracker_.RecordCrash(instance, {digest}, UnixMillis());
  if (records.empty()) return;
  LogWarning("target_crashed", {{"request_digest", digest}, {"instance", instance}});
  const std::string encoded = EncodeCrashRecords(records);
  for (const Host& host : config_.current()->inventory.hosts) {
    if (host.role != "entry" || host.name == settings_.host) continue;
    const Endpoint peer{host.address, static_cast<uint16_t>(host.port)};
    Spawn(io_, "suspects_tell", [this, peer, encoded]() { return SendToPeer(peer, encoded); });
  }
  unsaved_changes_ = true;
  if (storing_) return;
  storing_ = true;
  Spawn(io_, "suspects_store", [this]() { return Store(); });
}

Awaitable<void> SuspectService::SendToPeer(Endpoint peer, std::string records) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/internal/v1/suspects";
  request.body = std::move(records);
  CallOptions options;
  options.timeout = kPeerTimeout;
  co_await peers_.Call(peer, std::move(request), options);
}

Awaitable<void> SuspectService::Store() {
  while (unsaved_changes_ && !stopping_) {
    const bool stored = co_await StoreOnce();
    if (!stored) co_await SleepFor(kRetryDelay);
  }
  storing_ = false;
}

Awaitable<bool> SuspectService::StoreOnce() {
  const Duration timeout = Millis(settings_.platform_timeout_ms);
  const ObjectRead read = co_await objects_.Read(kSuspectsObject, timeout);
  if (read.outcome != CallOutcome::kDone) co_return false;
  const Result<CrashRecords> records = DecodeCrashRecords(read.found ? read.value : "{}");
  if (records) tracker_.Merge(records.value(), UnixMillis());
  unsaved_changes_ = false;
  std::string merged = EncodeCrashRecords(tracker_.records());
  const ObjectWrite write =
      co_await objects_.Write(kSuspectsObject, std::move(merged), read.version, timeout);
  // Merging is idempotent, so a write whose response was lost can be retried.
  const bool stored = write.outcome == CallOutcome::kDone;
  unsaved_changes_ = unsaved_changes_ || !stored;
  co_return stored;
}

Awaitable<void> SuspectService::Serve(HttpExchange& exchange) {
  const Result<CrashRecords> records = DecodeCrashRecords(exchange.request().body);
  if (records) tracker_.Merge(records.value(), UnixMillis());
  HttpResponse response = records ? JsonResponse(200, "{}") : ErrorResponse(records.error());
  co_await exchange.Respond(std::move(response));
}

}  // namespace fuchsiaweir
