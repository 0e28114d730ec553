#include "core/service_states.h"

namespace fuchsiaweir {

ServiceStates::ServiceStates(const ServiceView& view) {
  for (const DataCentre& data_centre : view.inventory.data_centres) {
    data_centres_[data_centre.name] = StateOfDataCentre(view, data_centre.name);
  }
  for (const Host& host : view.inventory.hosts) hosts_[host.name] = StateOfHost(view, host.name);
  for (const Runner& runner : view.inventory.runners) runners_[runner.name] = OfHost(runner.host);
}

ServiceState ServiceStates::Find(const States& states, std::string_view name) {
  const auto found = states.find(std::string(name));
  return found == states.end() ? ServiceState::kNotConfigured : found->second;
}

ServiceState ServiceStates::OfDataCentre(std::string_view name) const {
  return Find(data_centres_, name);
}

ServiceState ServiceStates::OfHost(std::string_view name) const { return Find(hosts_, name); }

ServiceState ServiceStates::OfRunner(std::string_view name) const { return Find(runners_, name); }

}  // namespace fuchsiaweir
