#ifndef FUCHSIAWEIR_CORE_FILE_TEXT_H_
#define FUCHSIAWEIR_CORE_FILE_TEXT_H_

#include <optional>
#include <string>

#include "core/findings.h"

namespace fuchsiaweir {

/// Returns the content of a file. Adds a finding and returns nullopt if it cannot be read.
std::optional<std::string> ReadFileText(const std::string& path, Findings& findings);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FILE_TEXT_H_
