#ifndef FUCHSIAWEIR_CORE_CANDIDATE_CHOICE_H_
#define FUCHSIAWEIR_CORE_CANDIDATE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/inventory.h"

namespace fuchsiaweir {

/// A runner that an entry may route prompts to.
struct CandidateRunner {
  std::string name;
  std::string host;
  bool in_service = true;
  uint64_t hash = 0;  ///< `RendezvousHash(name)`.
};

/// Inputs of the choice of candidates for a prompt.
struct CandidateQuery {
  std::string team;
  std::string model;
  std::string prefix_block;  ///< Id, in hex, of the block that identifies the prompt's prefix.
  size_t count = 6;          ///< Maximum number of candidates.
  std::vector<std::string> excluded;  ///< Runners of failed attempts.
};

/// Runners by model, built once per configuration revision.
class CandidateTable {
 public:
  /// A runner is in service if its host and its data centre are.
  explicit CandidateTable(const Inventory& inventory);

  /// Returns up to `count` runners in service, best first, the home runner at the front. Further
  /// runners of a chosen host come last, because one agent bids for all runners of its host. The
  /// pointers are valid as long as the table.
  std::vector<const CandidateRunner*> Choose(const CandidateQuery& query) const;

  /// Overrides a runner's service state until the next configuration revision.
  void SetInService(const std::string& runner, bool in_service);

 private:
  std::map<std::string, std::vector<CandidateRunner>> runners_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CANDIDATE_CHOICE_H_
