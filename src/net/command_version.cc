#include "net/command_version.h"

#include <iostream>

namespace fuchsiaweir {
namespace {

constexpr char kVersion[] = "0.1.0";

}  // namespace

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
