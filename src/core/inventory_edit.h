#ifndef FUCHSIAWEIR_CORE_INVENTORY_EDIT_H_
#define FUCHSIAWEIR_CORE_INVENTORY_EDIT_H_

#include <string>

#include "core/result.h"
#include "core/service_state.h"

namespace fuchsiaweir {

/// Takes a data centre or host out of service or returns it to service: changes the value of
/// `in_service` in the INI text, or adds the key at the end of the section. All other bytes,
/// including comments, are preserved. Returns the text unchanged if the value is already set. Fails
/// with kBadRequest if `inventory_ini` is not a valid inventory and with kNotFound if it does not
/// contain the data centre or host.
Result<std::string> SetInService(const std::string& inventory_ini, ServiceScope scope,
                                 const std::string& name, bool in_service);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_INVENTORY_EDIT_H_
