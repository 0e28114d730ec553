#ifndef FUCHSIAWEIR_CORE_FILE_TEXT_H_
#define FUCHSIAWEIR_CORE_FILE_TEXT_H_

#include <optional>
#include <string>

#include "core/findings.h"

namespace fuchsiaweir {

/// Reads a whole file. A file that cannot be read becomes a finding.
std::optional<std::string> ReadFileText(const std::string& path, Findings& findings);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FILE_TEXT_H_
