#ifndef FUCHSIAWEIR_NET_SERVICE_GATE_H_
#define FUCHSIAWEIR_NET_SERVICE_GATE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/service_state.h"
#include "core/service_states.h"
#include "core/settings.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_server.h"
#include "net/membership.h"

namespace fuchsiaweir {

/// Determines whether a data centre, host or runner accepts new work, from the configuration, the
/// host list and the tighten orders that this process has received.
class ServiceGate : public Component {
 public:
  ServiceGate(const Settings& settings, ConfigService& config, Membership& membership);

  ServiceState OfDataCentre(std::string_view name) { return States().OfDataCentre(name); }
  ServiceState OfHost(std::string_view name) { return States().OfHost(name); }
  ServiceState OfRunner(std::string_view name) { return States().OfRunner(name); }

  bool HostAccepts(std::string_view name) { return OfHost(name) == ServiceState::kAccepting; }
  bool RunnerAccepts(std::string_view name) { return OfRunner(name) == ServiceState::kAccepting; }

  /// Returns a number that changes whenever a service state may have changed.
  int64_t generation();

  /// Returns the state of this process's host.
  ServiceState OwnHostState() { return OfHost(settings_.host); }
  /// Returns an error with run state not_run if this process's host accepts no new work.
  std::optional<Error> CheckAdmission();

  /// Handles POST /internal/v1/tighten with the body
  /// `{"data_centre" or "host": NAME, "seconds": N}`.
  Awaitable<void> ServeTighten(HttpExchange& exchange);

 private:
  /// Returns the states, recomputed after a change of configuration, host list or tighten orders.
  const ServiceStates& States();
  Result<TightenOrder> Tighten(const std::string& body);

  const Settings& settings_;
  ConfigService& config_;
  Membership& membership_;
  std::vector<TightenOrder> orders_;
  std::shared_ptr<const ConfigSnapshot> computed_for_config_;
  std::shared_ptr<const Membership::Hosts> computed_for_hosts_;
  TimePoint computed_until_;  ///< Earliest expiry of a tighten order.
  ServiceStates states_;
  int64_t generation_ = 0;  ///< Counts the computations of `states_`.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_SERVICE_GATE_H_
