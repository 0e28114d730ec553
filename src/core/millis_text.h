#ifndef FUCHSIAWEIR_CORE_MILLIS_TEXT_H_
#define FUCHSIAWEIR_CORE_MILLIS_TEXT_H_

#include <absl/strings/str_cat.h>

#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// Returns the whole milliseconds of a duration as text, for fields of log records.
inline std::string Ms(Duration duration) { return absl::StrCat(ToMillis(duration)); }

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_MILLIS_TEXT_H_
