#ifndef FUCHSIAWEIR_CORE_SERVICE_STATE_H_
#define FUCHSIAWEIR_CORE_SERVICE_STATE_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/inventory.h"
#include "core/listed_host.h"
#include "core/result.h"

namespace fuchsiaweir {

/// Scope of an operator's order or edit.
enum class ServiceScope { kDataCentre, kHost };

/// Whether a data centre, host or runner accepts new requests, or why not. If several reasons
/// apply, the first one in this order is reported.
enum class ServiceState {
  kAccepting,
  kNotConfigured,  ///< It is not in the inventory.
  kDataCentreOut,  ///< The inventory marks its data centre as out of service.
  kHostOut,        ///< The inventory marks its host as out of service.
  kHostLeaving,    ///< The platform is about to remove its host.
  kTightened,      ///< An operator's tighten order is in effect.
};

/// Returns the name of the state in status responses, for example "host_leaving".
std::string_view Name(ServiceState state);

/// An operator's direct order to a process to drain a data centre or host until `expires`.
struct TightenOrder {
  ServiceScope scope = ServiceScope::kHost;
  std::string name;
  TimePoint expires;
};

/// Maximum validity of a tighten order. A longer drain must be made in the configuration.
inline constexpr Duration kMaxTightenValidity = Seconds(3'600);

/// Inputs from which service states are computed. The referenced objects must outlive the view.
struct ServiceView {
  const Inventory& inventory;
  const std::vector<ListedHost>& hosts;
  const std::vector<TightenOrder>& orders;
  TimePoint now;
};

/// Returns whether a data centre accepts new requests.
ServiceState StateOfDataCentre(const ServiceView& view, const std::string& data_centre);

/// Returns whether a host accepts new requests. This also applies to the replicas of plain services
/// on it.
ServiceState StateOfHost(const ServiceView& view, const std::string& host);

/// Returns whether a runner accepts new requests.
ServiceState StateOfRunner(const ServiceView& view, const std::string& runner);

/// Returns the orders with a new one added and expired ones removed. Orders for the same data
/// centre or host are merged with the later expiry, so that no order shortens another. Fails with
/// kNotFound if `name` is not in the inventory and with kBadRequest if `validity` is not positive
/// or exceeds kMaxTightenValidity.
Result<std::vector<TightenOrder>> AddTightenOrder(const ServiceView& view, ServiceScope scope,
                                                  const std::string& name, Duration validity);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_SERVICE_STATE_H_
