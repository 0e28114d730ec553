#ifndef FUCHSIAWEIR_NET_CONFIG_EDITOR_H_
#define FUCHSIAWEIR_NET_CONFIG_EDITOR_H_

#include <cstdint>

#include "core/clock.h"
#include "core/config_document.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// How long a change may take and how much of the audit trail the document keeps.
struct SubmitOptions {
  Duration call_timeout = Seconds(2);
  Duration timeout = Seconds(30);  ///< After it, a change that cannot be settled is given up.
  AuditLimits limits;
};

/// Writes a change to the platform: first the audit page, if one is due, then the document on
/// condition of `version`. A lost answer is settled by reading the nonce back. Returns the accepted
/// revision; kConflict when another change was accepted first; run state unknown when the change
/// may still take effect.
Awaitable<Result<int64_t>> SubmitChange(ObjectApi& objects, ConfigDocument current, int64_t version,
                                        ConfigChange change, SubmitOptions options);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CONFIG_EDITOR_H_
