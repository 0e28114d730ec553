#ifndef FUCHSIAWEIR_CORE_CANDIDATE_CHOICE_H_
#define FUCHSIAWEIR_CORE_CANDIDATE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/inventory.h"

namespace fuchsiaweir {

/// A runner as the entry's routing sees it.
struct CandidateRunner {
  std::string name;
  std::string host;
  bool in_service = true;
  uint64_t hash = 0;  ///< `RendezvousHash(name)`.
};

/// What the candidates of a prompt depend on.
struct CandidateQuery {
  std::string team;
  std::string model;
  std::string prefix_block;  ///< Id of the block that names the prompt's family, in hex.
  size_t count = 6;
  std::vector<std::string> excluded;  ///< Runners that failed an earlier attempt.
};

/// Runners by model; built once per configuration revision.
class CandidateTable {
 public:
  /// Takes the service state from the runner's host and data centre.
  explicit CandidateTable(const Inventory& inventory);

  /// Returns up to `count` runners in service, the home runner first. Runners of different hosts
  /// come first, because one agent answers for all runners of its host. Pointers stay valid as long
  /// as the table.
  std::vector<const CandidateRunner*> Choose(const CandidateQuery& query) const;

  /// Takes a runner out of service or back before a new configuration arrives.
  void SetInService(const std::string& runner, bool in_service);

 private:
  std::map<std::string, std::vector<CandidateRunner>> runners_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CANDIDATE_CHOICE_H_
