#include "net/team_quotas.h"

#include <algorithm>
#include <memory>

namespace fuchsiaweir {

std::optional<Error> TeamQuotas::Admit(const std::string& team, int64_t tokens) {
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  if (config->revision != revision_) {
    revision_ = config->revision;
    const std::vector<Host>& hosts = config->inventory.hosts;
    const auto entries = std::count_if(hosts.begin(), hosts.end(),
                                       [](const Host& host) { return host.role == "entry"; });
    quota_.Configure(config->inventory.teams, static_cast<size_t>(std::max<int64_t>(1, entries)));
  }
  return quota_.Admit(team, tokens, SteadyNow());
}

}  // namespace fuchsiaweir
