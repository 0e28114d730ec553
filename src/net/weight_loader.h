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
  /// Configuration revision that the holder used. An agent with an older revision must not order a
  /// load, since it could load an outdated version.
  int64_t revision = 0;
};

/// Loads the weight version of the configuration into the engines of this host.
///
/// An order requires one of the fleet's weight slots and the runner's order lease, and carries the
/// lease's fencing token. For an engine that does not check the token, the loader first waits until
/// the previous holder's lease has expired and its orders can no longer take effect. Serving needs
/// neither slot nor lease, and so does not depend on the platform.
class WeightLoader : public Component {
 public:
  WeightLoader(ComponentRegistry& components, const Settings& settings);
  ~WeightLoader() override;

 private:
  struct RunnerState;

  void CheckRunners();
  std::shared_ptr<RunnerState> StateFor(const Runner& runner);
  /// Reads the runner's configured version and the configuration revision.
  void ReadConfiguredVersion(RunnerState& state) const;

  /// Loads the configured version if the engine reports another one.
  Awaitable<void> UpdateWeights(std::shared_ptr<RunnerState> state);
  Awaitable<void> OrderLoad(std::shared_ptr<RunnerState> state);
  /// Waits until an order may be sent. Returns false if the lease or the slot is lost, or if the
  /// configured version changes.
  Awaitable<bool> AwaitPermission(std::shared_ptr<RunnerState> state);
  Awaitable<void> AwaitVersion(std::shared_ptr<RunnerState> state);
  Awaitable<bool> HasConfiguredVersion(std::shared_ptr<RunnerState> state);

  Awaitable<bool> AcquireSlot(std::shared_ptr<RunnerState> state);
  Awaitable<void> ReleaseSlot(std::shared_ptr<RunnerState> state);
  Awaitable<bool> AcquireLease(std::shared_ptr<RunnerState> state);
  Awaitable<bool> RenewLease(std::shared_ptr<RunnerState> state);
  Awaitable<void> ReleaseLease(std::shared_ptr<RunnerState> state);
  Awaitable<bool> WriteLease(std::shared_ptr<RunnerState> state, LeaseObject lease,
                             int64_t version);
  /// Returns whether the object is this agent's current lease.
  bool IsOwnLease(const RunnerState& state, const LeaseObject& lease) const;

  ComponentRegistry& components_;
  const Settings& settings_;
  ConfigService& config_;
  HttpClient& client_;
  ObjectApi& objects_;
  Duration platform_timeout_;
  std::string process_name_;  ///< Id of this process in leases and slots.
  std::map<std::string, std::shared_ptr<RunnerState>> runners_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_WEIGHT_LOADER_H_
