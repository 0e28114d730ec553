#ifndef FUCHSIAWEIR_NET_WEIGHT_LOADER_H_
#define FUCHSIAWEIR_NET_WEIGHT_LOADER_H_

#include <map>
#include <memory>
#include <string>

#include "core/inventory.h"
#include "core/order_lease.h"
#include "core/settings.h"
#include "core/weight_slots.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Content of the platform object `leases/RUNNER`.
struct LeaseObject {
  OrderLeaseRecord record;
  /// Configuration revision that the holder acted on. An agent with an older one must not order,
  /// since it would bring back a former version.
  int64_t revision = 0;
};

/// Brings the engines of this host to the weight version that the configuration names.
///
/// An order needs one of the fleet's weight slots and the runner's order lease. It carries the
/// lease's fencing number; for an engine that does not check it, the loader first waits out the
/// validity of the holder before. Serving needs neither and goes on without the platform.
class WeightLoader : public Component {
 public:
  WeightLoader(ComponentRegistry& components, const Settings& settings);
  ~WeightLoader() override;

 private:
  struct Target;

  void CheckRunners();
  std::shared_ptr<Target> TargetOf(const Runner& runner);
  /// Version that the configuration names for the runner, with the revision that says so.
  void ReadWanted(Target& target) const;

  Awaitable<void> Update(std::shared_ptr<Target> target);
  Awaitable<void> Order(std::shared_ptr<Target> target);
  /// Waits until an order may be sent now. Returns false when the lease or the slot is lost.
  Awaitable<bool> AwaitPermission(std::shared_ptr<Target> target);
  Awaitable<void> AwaitVersion(std::shared_ptr<Target> target);
  Awaitable<bool> HasWantedVersion(std::shared_ptr<Target> target);

  Awaitable<bool> TakeSlot(std::shared_ptr<Target> target);
  Awaitable<void> ReleaseSlot(std::shared_ptr<Target> target);
  Awaitable<bool> TakeLease(std::shared_ptr<Target> target);
  Awaitable<bool> RenewLease(std::shared_ptr<Target> target);
  Awaitable<void> ReleaseLease(std::shared_ptr<Target> target);
  Awaitable<bool> WriteLease(std::shared_ptr<Target> target, LeaseObject lease, int64_t version);
  /// Whether the object names this agent's present lease.
  bool Holds(const Target& target, const LeaseObject& lease) const;

  ComponentRegistry& components_;
  const Settings& settings_;
  ConfigService& config_;
  HttpClient& client_;
  ObjectApi& objects_;
  Duration platform_timeout_;
  std::string self_;  ///< Names this process in leases and slots.
  std::map<std::string, std::shared_ptr<Target>> targets_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_WEIGHT_LOADER_H_
