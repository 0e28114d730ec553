#ifndef FUCHSIAWEIR_CORE_SERVICE_STATES_H_
#define FUCHSIAWEIR_CORE_SERVICE_STATES_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "core/service_state.h"

namespace fuchsiaweir {

/// Service states of all data centres, hosts and runners of an inventory. They are computed once
/// per change, because a single routing decision looks up hundreds of runners.
class ServiceStates {
 public:
  ServiceStates() = default;
  explicit ServiceStates(const ServiceView& view);

  /// Each returns kNotConfigured for a name that is not in the inventory.
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
