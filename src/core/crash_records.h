#ifndef FUCHSIAWEIR_CORE_CRASH_RECORDS_H_
#define FUCHSIAWEIR_CORE_CRASH_RECORDS_H_

#include <string>
#include <string_view>

#include "core/poison_tracker.h"
#include "core/result.h"

namespace fuchsiaweir {

/// Returns the records as JSON for the platform's object store and for peers.
std::string EncodeCrashRecords(const CrashRecords& records);

/// Parses the result of `EncodeCrashRecords`. Malformed input gives kBadRequest.
Result<CrashRecords> DecodeCrashRecords(std::string_view text);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CRASH_RECORDS_H_
