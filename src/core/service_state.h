#ifndef FUCHSIAWEIR_CORE_SERVICE_STATE_H_
#define FUCHSIAWEIR_CORE_SERVICE_STATE_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/inventory.h"
#include "core/listed_host.h"
#include "core/result.h"

namespace fuchsiaweir {

/// What an operator takes out of service.
enum class ServiceScope { kDataCentre, kHost };

/// Why a place accepts no new work. The first reason that holds is reported.
enum class ServiceState {
  kAccepting,
  kNotConfigured,  ///< The inventory does not name it.
  kDataCentreOut,  ///< The inventory takes its data centre out of service.
  kHostOut,        ///< The inventory takes its host out of service.
  kHostLeaving,    ///< The platform is about to take its host away.
  kTightened,      ///< A direct order of an operator holds.
};

/// Returns the state's name in status answers, for example "host_leaving".
std::string_view Name(ServiceState state);

/// A direct order to stop accepting new work until `expires`.
struct TightenOrder {
  ServiceScope scope = ServiceScope::kHost;
  std::string name;
  TimePoint expires;
};

/// Longest validity of a tighten order. A longer drain belongs into the configuration.
inline constexpr Duration kMaxTightenValidity = Seconds(3'600);

/// Everything that decides about new work. The referenced objects outlive the view.
struct ServiceView {
  const Inventory& inventory;
  const std::vector<ListedHost>& hosts;
  const std::vector<TightenOrder>& orders;
  TimePoint now;
};

/// Decides whether a data centre accepts new work.
ServiceState StateOfDataCentre(const ServiceView& view, const std::string& data_centre);

/// Decides whether a host accepts new work; replicas of plain services follow their host.
ServiceState StateOfHost(const ServiceView& view, const std::string& host);

/// Decides whether a runner accepts new work.
ServiceState StateOfRunner(const ServiceView& view, const std::string& runner);

/// Adds an order for `validity` and drops expired ones. An order for the same place keeps the later
/// expiry, so that no order shortens another. Fails with kNotFound for a place that the inventory
/// does not name and with kBadRequest for a validity outside (0, kMaxTightenValidity].
Result<std::vector<TightenOrder>> AddTightenOrder(const ServiceView& view, ServiceScope scope,
                                                  const std::string& name, Duration validity);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_SERVICE_STATE_H_
