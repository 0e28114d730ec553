#ifndef FUCHSIAWEIR_CORE_INVENTORY_EDIT_H_
#define FUCHSIAWEIR_CORE_INVENTORY_EDIT_H_

#include <string>

#include "core/result.h"
#include "core/service_state.h"

namespace fuchsiaweir {

/// Takes a data centre or host out of service, or back, by changing the value of `in_service` in
/// the INI text or by adding the key after the last one of its section. All other bytes stay,
/// comments included. Returns an equal text when nothing is to change. Fails with kBadRequest when
/// `inventory_ini` is not a valid inventory and with kNotFound when it does not name the place.
Result<std::string> SetInService(const std::string& inventory_ini, ServiceScope scope,
                                 const std::string& name, bool in_service);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_INVENTORY_EDIT_H_
