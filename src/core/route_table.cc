#include "core/route_table.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <array>

namespace fuchsiaweir {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {"safe", "unsafe", "stream"};

absl::string_view WithoutPort(std::string_view host) {
  return {host.data(), std::min(host.size(), host.find(':'))};
}

}  // namespace

std::string_view Name(RouteKind kind) { return kKindNames[static_cast<size_t>(kind)]; }

const Route* FindRoute(const RouteTable& table, std::string_view host, std::string_view path) {
  const absl::string_view name = WithoutPort(host);
  const Route* best = nullptr;
  for (const Route& route : table.routes) {
    if (!path.starts_with(route.path_prefix)) continue;
    if (best != nullptr && best->path_prefix.size() >= route.path_prefix.size()) continue;
    if (absl::EqualsIgnoreCase(WithoutPort(route.host), name)) best = &route;
  }
  return best;
}

const TeamSpec* FindTeam(const RouteTable& table, std::string_view key) {
  const auto found = table.team_by_key.find(key);
  return found == table.team_by_key.end() ? nullptr : &table.teams[found->second];
}

const std::string& ChooseService(const Route& route, double fraction) {
  int64_t total = 0;
  for (const RouteTarget& target : route.targets) total += target.weight;
  double point = fraction * static_cast<double>(total);
  for (const RouteTarget& target : route.targets) {
    point -= static_cast<double>(target.weight);
    if (point < 0) return target.service;
  }
  return route.targets.back().service;
}

}  // namespace fuchsiaweir
