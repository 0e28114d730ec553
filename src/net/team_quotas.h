#ifndef FUCHSIAWEIR_NET_TEAM_QUOTAS_H_
#define FUCHSIAWEIR_NET_TEAM_QUOTAS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/result.h"
#include "core/team_quota.h"
#include "net/component_registry.h"
#include "net/config_service.h"

namespace fuchsiaweir {

/// The entry's team quotas, shared by completions and calls to plain services.
class TeamQuotas : public Component {
 public:
  explicit TeamQuotas(ConfigService& config) : config_(config) {}

  /// Admits a request of `tokens` tokens under the current limits, or returns an error with run
  /// state not_run.
  std::optional<Error> Admit(const std::string& team, int64_t tokens);

  /// Must be called once at the end of each admitted request.
  void Release(const std::string& team) { quota_.Release(team); }

 private:
  ConfigService& config_;
  int64_t revision_ = -1;
  TeamQuota quota_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_TEAM_QUOTAS_H_
