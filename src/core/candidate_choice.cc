#include "core/candidate_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

using Scored = std::pair<uint64_t, const CandidateRunner*>;

bool RanksBefore(const Scored& a, const Scored& b) {
  return a.first != b.first ? a.first > b.first : a.second->name < b.second->name;
}

// The length prefixes make the key of ("ab", "c") differ from that of ("a", "bc").
uint64_t KeyHash(const CandidateQuery& query) {
  return RendezvousHash(absl::StrCat(query.team.size(), ":", query.team, query.model.size(), ":",
                                     query.model, query.prefix_block));
}

bool IsInService(const Inventory& inventory, const Runner& runner) {
  const Host* host = FindByName(inventory.hosts, runner.host);
  if (host == nullptr || !host->in_service) return false;
  const DataCentre* data_centre = FindByName(inventory.data_centres, host->data_centre);
  return data_centre != nullptr && data_centre->in_service;
}

bool ContainsHost(const std::vector<const CandidateRunner*>& chosen,
                  const CandidateRunner& runner) {
  return std::any_of(chosen.begin(), chosen.end(), [&runner](const CandidateRunner* other) {
    return other->host == runner.host;
  });
}

}  // namespace

CandidateTable::CandidateTable(const Inventory& inventory) {
  for (const Runner& runner : inventory.runners) {
    runners_[runner.model].push_back(
        {runner.name, runner.host, IsInService(inventory, runner), RendezvousHash(runner.name)});
  }
}

void CandidateTable::SetInService(const std::string& runner, bool in_service) {
  for (auto& [model, runners] : runners_) {
    for (CandidateRunner& candidate : runners) {
      if (candidate.name == runner) candidate.in_service = in_service;
    }
  }
}

std::vector<const CandidateRunner*> CandidateTable::Choose(const CandidateQuery& query) const {
  const auto found = runners_.find(query.model);
  if (found == runners_.end()) return {};
  const uint64_t key_hash = KeyHash(query);
  std::vector<Scored> scored;
  scored.reserve(found->second.size());
  for (const CandidateRunner& runner : found->second) {
    if (!runner.in_service) continue;
    if (std::find(query.excluded.begin(), query.excluded.end(), runner.name) !=
        query.excluded.end()) {
      continue;
    }
    scored.emplace_back(RendezvousMix(key_hash, runner.hash), &runner);
  }
  std::vector<const CandidateRunner*> chosen;
  std::vector<const CandidateRunner*> same_host;
  // Sorts in steps and only as far as needed: in a large fleet, runners of the same host are rarely
  // adjacent in the ranking, so the first step usually suffices.
  size_t sorted = 0;
  for (size_t i = 0; i < scored.size() && chosen.size() < query.count; ++i) {
    if (i == sorted) {
      const size_t next = std::min(scored.size(), sorted + query.count + 1);
      std::partial_sort(scored.begin() + static_cast<std::ptrdiff_t>(sorted),
                        scored.begin() + static_cast<std::ptrdiff_t>(next), scored.end(),
                        RanksBefore);
      sorted = next;
    }
    const CandidateRunner& runner = *scored[i].second;
    (ContainsHost(chosen, runner) ? same_host : chosen).push_back(&runner);
  }
  for (size_t i = 0; i < same_host.size() && chosen.size() < query.count; ++i) {
    chosen.push_back(same_host[i]);
  }
  return chosen;
}

}  // namespace fuchsiaweir
