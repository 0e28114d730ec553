#include "experiment/time_model.h"

#include <algorithm>

namespace fuchsiaweir::experiment {
namespace {

/// Runs above the limit beyond which a cold engine slows down no further, so that the slowdown
/// stays below a factor of six.
constexpr int kMaxColdExcessRuns = 4;

/// Finalizer of SplitMix64.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::vector<BlockKey> BlocksOf(const Request& request, int weight_version) {
  std::vector<BlockKey> blocks;
  for (int i = 0; i < request.complete_blocks(); ++i) {
    const uint64_t owner = i < request.shared_blocks ? request.shared_prefix : request.session;
    const uint64_t base = Mix(owner * 64 + static_cast<uint64_t>(weight_version) + 1);
    blocks.push_back(Mix(base + static_cast<uint64_t>(i)));
  }
  return blocks;
}

void PrefixCache::Touch(BlockKey block) {
  const auto entry = entries_.find(block);
  if (entry != entries_.end()) {
    lru_.splice(lru_.begin(), lru_, entry->second);
    return;
  }
  lru_.push_front(block);
  entries_[block] = lru_.begin();
  change_count_ += 1;
  if (lru_.size() <= capacity_) return;
  change_count_ += 1;
  entries_.erase(lru_.back());
  lru_.pop_back();
}

void PrefixCache::Clear() {
  lru_.clear();
  entries_.clear();
}

int PrefixCache::PrefixLength(const std::vector<BlockKey>& blocks) const {
  size_t length = 0;
  while (length < blocks.size() && Contains(blocks[length])) ++length;
  return static_cast<int>(length);
}

void Runner::ResetToCold() {
  run_limit = kColdLimit;
  instance += 1;
  cache.Clear();
}

double Runner::slowdown() const {
  if (!cold()) return 1;
  const int excess = static_cast<int>(active.size()) - run_limit;
  const double warmth = static_cast<double>(run_limit) / kRunnerSlots;
  return (2 - warmth) * (1 + 0.5 * std::clamp(excess, 0, kMaxColdExcessRuns));
}

Duration Runner::token_time() const {
  // A token takes 12 ms alone and 0.4 ms more per run in the batch.
  const double warm = 12'000 + 400 * static_cast<double>(active.size());
  return Micros(static_cast<int64_t>(warm * slowdown()));
}

Duration Store::block_transfer_time() const {
  return Micros(static_cast<int64_t>(static_cast<double>(kBlockBytes) / bytes_per_second * 1e6));
}

bool Fleet::IsStored(BlockKey block) const {
  const Store& store = stores[StoreIndex(block)];
  return store.up && store.blocks.count(block) != 0;
}

int Fleet::StoredRunLength(const std::vector<BlockKey>& blocks, int from) const {
  size_t end = from;
  while (end < blocks.size() && IsStored(blocks[end])) ++end;
  return static_cast<int>(end) - from;
}

Fleet MakeFleet(const Deployment& deployment) {
  Fleet fleet;
  fleet.deployment = &deployment;
  const int centres = static_cast<int>(deployment.data_centres.size());
  for (int i = 0; i < deployment.runners + deployment.service_runners; ++i) {
    Runner runner;
    runner.id = i;
    runner.is_service = i >= deployment.runners;
    runner.data_centre = i % centres;
    fleet.runners.push_back(std::move(runner));
  }
  fleet.stores.resize(deployment.stores);
  return fleet;
}

Duration PrefillTime(int64_t tokens) {
  return Micros(tokens * 1'000'000 / kPrefillTokensPerSecond);
}

}  // namespace fuchsiaweir::experiment
