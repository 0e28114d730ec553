#ifndef FUCHSIAWEIR_CORE_VERSION_RULE_H_
#define FUCHSIAWEIR_CORE_VERSION_RULE_H_

#include <set>
#include <string>

#include "core/runner_record.h"

namespace fuchsiaweir {

/// Which runners of a service may get a request, by the version of their software.
struct VersionRule {
  std::set<std::string> versions;
  std::set<std::string> runners;  ///< If not empty, only these runners of the versions.

  bool Allows(const RunnerRecord& runner) const {
    return versions.count(runner.version) > 0 && (runners.empty() || runners.count(runner.id) > 0);
  }
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_VERSION_RULE_H_
