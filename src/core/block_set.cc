#include "core/block_set.h"

#include <iterator>

namespace fuchsiaweir {

void BlockSet::Add(const BlockId& id) {
  Remove(id);
  order_.push_back(id);
  index_[id] = std::prev(order_.end());
  if (index_.size() > max_blocks_) Remove(BlockId(order_.front()));
}

void BlockSet::Remove(const BlockId& id) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  order_.erase(found->second);
  index_.erase(found);
}

void BlockSet::Clear() {
  order_.clear();
  index_.clear();
}

}  // namespace fuchsiaweir
