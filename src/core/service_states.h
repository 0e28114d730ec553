#ifndef FUCHSIAWEIR_CORE_SERVICE_STATES_H_
#define FUCHSIAWEIR_CORE_SERVICE_STATES_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "core/service_state.h"

namespace fuchsiaweir {

/// The service states of all places of an inventory, computed once per change, because a routing
/// decision asks for hundreds of runners.
class ServiceStates {
 public:
  ServiceStates() = default;
  explicit ServiceStates(const ServiceView& view);

  /// Returns the state of a place; kNotConfigured when the inventory does not name it.
  ServiceState OfDataCentre(std::string_view name) const;
  ServiceState OfHost(std::string_view name) const;
  ServiceState OfRunner(std::string_view name) const;

 private:
  using States = absl::flat_hash_map<std::string, ServiceState>;

  static ServiceState Find(const States& states, std::string_view name);

  States data_centres_;
  States hosts_;
  States runners_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_SERVICE_STATES_H_
