#include "net/command_version.h"

#include <iostream>

#include "core/version.h"

namespace fuchsiaweir {

ExitCode RunVersion(const Operands& operands) {
  if (!operands.empty()) return ExitCode::kUsage;
  if (JsonOutput()) {
    std::cout << boost::json::serialize(boost::json::object{{"version", kVersion}}) << "\n";
  } else {
    std::cout << "fuchsiaweir " << kVersion << "\n";
  }
  return ExitCode::kDone;
}

}  // namespace fuchsiaweir
