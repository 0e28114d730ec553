#include "net/config_service.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "core/json_fields.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kWatchWait = Seconds(20);
constexpr Duration kRetryPause = Millis(250);

}  // namespace

ConfigService::ConfigService(boost::asio::io_context& io, const Settings& settings,
                             ObjectApi& objects)
    : io_(io), settings_(settings), objects_(objects) {}

void ConfigService::Start() {
  Spawn(io_, "config_watch", [this]() { return WatchLoop(); });
}

Awaitable<void> ConfigService::Stop() {
  stopping_ = true;
  co_return;
}

Awaitable<void> ConfigService::WatchLoop() {
  while (!stopping_) {
    const ObjectRead read = co_await objects_.Watch(kConfigKey, object_version_,
                                                    object_version_ == 0 ? Duration{0} : kWatchWait,
                                                    Millis(settings_.platform_timeout_ms));
    if (read.found && read.version > object_version_) {
      object_version_ = read.version;
      Adopt(read.value);
      continue;
    }
    if (read.outcome != CallOutcome::kDone || !read.found) co_await SleepFor(kRetryPause);
  }
}

void ConfigService::Adopt(const std::string& document) {
  try {
    const boost::json::object object = ParseJsonObject(document);
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->revision = IntegerField(object, "revision");
    if (snapshot->revision <= current_->revision) return;
    snapshot->text = StringField(object, "inventory");
    Findings findings;
    const IniDocument ini = ParseIni(snapshot->text, kConfigKey, findings);
    std::optional<Inventory> inventory = ParseInventory(ini, findings);
    if (!inventory) {
      LogError("config_rejected", {{"findings", findings.ToString()}});
      return;
    }
    snapshot->inventory = std::move(*inventory);
    current_ = snapshot;
    LogInfo("config_adopted", {{"revision", absl::StrCat(current_->revision)}});
  } catch (const std::exception& e) {
    LogError("config_rejected", {{"reason", e.what()}});
  }
}

}  // namespace fuchsiaweir
