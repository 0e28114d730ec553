#ifndef FUCHSIAWEIR_NET_CONFIG_SERVICE_H_
#define FUCHSIAWEIR_NET_CONFIG_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/inventory.h"
#include "core/settings.h"
#include "net/http_client.h"
#include "net/kernel.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// A configuration in force. Snapshots are immutable; a request keeps the one that it began with.
struct ConfigSnapshot {
  int64_t revision = 0;
  std::string text;  ///< The inventory's INI text.
  Inventory inventory;
};

/// Holds the process's configuration and keeps it current.
class ConfigService : public Component {
 public:
  ConfigService(boost::asio::io_context& io, const Settings& settings, ObjectApi& objects);

  void Start() override;
  Awaitable<void> Stop() override;

  /// Returns the configuration in force; revision 0 until the first one has arrived.
  std::shared_ptr<const ConfigSnapshot> current() const { return current_; }

 private:
  Awaitable<void> WatchLoop();
  void Adopt(const std::string& document);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ObjectApi& objects_;
  std::shared_ptr<const ConfigSnapshot> current_ = std::make_shared<ConfigSnapshot>();
  int64_t object_version_ = 0;
  bool stopping_ = false;
};

/// Platform object that holds the configuration.
inline constexpr char kConfigKey[] = "config/current";

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CONFIG_SERVICE_H_
