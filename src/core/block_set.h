#ifndef FUCHSIAWEIR_CORE_BLOCK_SET_H_
#define FUCHSIAWEIR_CORE_BLOCK_SET_H_

#include <absl/container/flat_hash_map.h>

#include <list>

#include "core/block_chain.h"

namespace fuchsiaweir {

/// Bounded set of block ids that removes the least recently added first.
class BlockSet {
 public:
  explicit BlockSet(size_t max_blocks) : max_blocks_(max_blocks) {}

  /// Adds an id, or makes it the most recent one if it is present.
  void Add(const BlockId& id);
  void Remove(const BlockId& id);
  void Clear();
  bool Contains(const BlockId& id) const { return index_.contains(id); }
  size_t size() const { return index_.size(); }

 private:
  size_t max_blocks_;
  std::list<BlockId> order_;
  absl::flat_hash_map<BlockId, std::list<BlockId>::iterator> index_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BLOCK_SET_H_
