#include "core/service_state.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr std::string_view kStateNames[] = {"accepting", "not_configured", "data_centre_out",
                                            "host_out",  "host_leaving",   "tightened"};

bool IsTightened(const ServiceView& view, ServiceScope scope, const std::string& name) {
  return std::any_of(view.orders.begin(), view.orders.end(), [&](const TightenOrder& order) {
    return order.scope == scope && order.name == name && view.now < order.expires;
  });
}

/// A host that is absent from the list counts as staying, because the list lags behind new hosts.
bool IsLeaving(const ServiceView& view, const std::string& name) {
  return std::any_of(view.hosts.begin(), view.hosts.end(),
                     [&](const ListedHost& host) { return host.name == name && host.leaving; });
}

bool IsConfigured(const Inventory& inventory, ServiceScope scope, const std::string& name) {
  if (scope == ServiceScope::kHost) return FindByName(inventory.hosts, name) != nullptr;
  return FindByName(inventory.data_centres, name) != nullptr;
}

}  // namespace

std::string_view Name(ServiceState state) { return kStateNames[static_cast<size_t>(state)]; }

ServiceState StateOfDataCentre(const ServiceView& view, const std::string& data_centre) {
  const DataCentre* found = FindByName(view.inventory.data_centres, data_centre);
  if (found == nullptr) return ServiceState::kNotConfigured;
  if (!found->in_service) return ServiceState::kDataCentreOut;
  if (IsTightened(view, ServiceScope::kDataCentre, data_centre)) return ServiceState::kTightened;
  return ServiceState::kAccepting;
}

ServiceState StateOfHost(const ServiceView& view, const std::string& host) {
  const Host* found = FindByName(view.inventory.hosts, host);
  if (found == nullptr) return ServiceState::kNotConfigured;
  const ServiceState data_centre = StateOfDataCentre(view, found->data_centre);
  if (data_centre != ServiceState::kAccepting) return data_centre;
  if (!found->in_service) return ServiceState::kHostOut;
  if (IsLeaving(view, host)) return ServiceState::kHostLeaving;
  if (IsTightened(view, ServiceScope::kHost, host)) return ServiceState::kTightened;
  return ServiceState::kAccepting;
}

ServiceState StateOfRunner(const ServiceView& view, const std::string& runner) {
  const Runner* found = FindByName(view.inventory.runners, runner);
  return found == nullptr ? ServiceState::kNotConfigured : StateOfHost(view, found->host);
}

Result<std::vector<TightenOrder>> AddTightenOrder(const ServiceView& view, ServiceScope scope,
                                                  const std::string& name, Duration validity) {
  if (!IsConfigured(view.inventory, scope, name)) {
    return Error{ErrorCode::kNotFound, RunState::kNotRun,
                 absl::StrCat("the inventory does not name \"", name, "\"")};
  }
  if (validity <= Duration(0) || validity > kMaxTightenValidity) {
    return Error{
        ErrorCode::kBadRequest, RunState::kNotRun,
        absl::StrCat("validity is ", ToSeconds(validity), " s; allowed is above 0 and up to ",
                     ToSeconds(kMaxTightenValidity), " s")};
  }
  TightenOrder added{scope, name, view.now + validity};
  std::vector<TightenOrder> orders;
  for (const TightenOrder& order : view.orders) {
    if (order.expires <= view.now) continue;
    if (order.scope == scope && order.name == name) {
      added.expires = std::max(added.expires, order.expires);
    } else {
      orders.push_back(order);
    }
  }
  orders.push_back(added);
  return orders;
}

}  // namespace fuchsiaweir
