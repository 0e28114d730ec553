#ifndef FUCHSIAWEIR_NET_CONFIG_EDITOR_H_
#define FUCHSIAWEIR_NET_CONFIG_EDITOR_H_

#include <cstdint>

#include "core/clock.h"
#include "core/config_document.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Timeouts of a change and limits of the audit records in the document.
struct SubmitOptions {
  Duration call_timeout = Seconds(2);
  Duration timeout = Seconds(30);  ///< Time limit of the whole change, including retries.
  AuditLimits limits;
};

/// Writes a change to the platform: first the audit page, if one is due, then the document,
/// conditionally on `version`. If a response is lost, the outcome is determined by reading back the
/// nonce. Returns the accepted revision. Fails with kConflict if another change was accepted first,
/// and with RunState::kUnknown if the change may still take effect.
Awaitable<Result<int64_t>> SubmitChange(ObjectApi& objects, ConfigDocument current, int64_t version,
                                        ConfigChange change, SubmitOptions options);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CONFIG_EDITOR_H_
