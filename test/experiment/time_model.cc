#include "experiment/time_model.h"

#include <algorithm>

namespace fuchsiaweir::experiment {
namespace {

/// Overload slows a cold engine down sixfold at most.
constexpr int kMaxColdExcess = 4;

uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::vector<BlockKey> BlocksOf(const Request& request, int weight_version) {
  std::vector<BlockKey> blocks;
  for (int i = 0; i < request.whole_blocks(); ++i) {
    const uint64_t owner = i < request.shared_blocks ? request.shared_prefix : request.session;
    const uint64_t base = Mix(owner * 64 + static_cast<uint64_t>(weight_version) + 1);
    blocks.push_back(Mix(base + static_cast<uint64_t>(i)));
  }
  return blocks;
}

void PrefixCache::Use(BlockKey block) {
  const auto place = places_.find(block);
  if (place != places_.end()) {
    order_.splice(order_.begin(), order_, place->second);
    return;
  }
  order_.push_front(block);
  places_[block] = order_.begin();
  changes_ += 1;
  if (order_.size() <= capacity_) return;
  changes_ += 1;
  places_.erase(order_.back());
  order_.pop_back();
}

void PrefixCache::Clear() {
  order_.clear();
  places_.clear();
}

int PrefixCache::Prefix(const std::vector<BlockKey>& blocks) const {
  size_t length = 0;
  while (length < blocks.size() && Contains(blocks[length])) ++length;
  return static_cast<int>(length);
}

void Runner::TurnCold() {
  cold_capacity = kColdLimit;
  instance += 1;
  cache.Clear();
}

double Runner::slowdown() const {
  if (!cold()) return 1;
  const int excess = static_cast<int>(active.size()) - cold_capacity;
  const double warmth = static_cast<double>(cold_capacity) / kRunnerSlots;
  return (2 - warmth) * (1 + 0.5 * std::clamp(excess, 0, kMaxColdExcess));
}

Duration Runner::token_time() const {
  // A token takes 12 ms alone and 0.4 ms more per run in the batch.
  const double warm = 12'000 + 400 * static_cast<double>(active.size());
  return Micros(static_cast<int64_t>(warm * slowdown()));
}

Duration Store::block_time() const {
  return Micros(static_cast<int64_t>(static_cast<double>(kBlockBytes) / bytes_per_second * 1e6));
}

bool Fleet::Stored(BlockKey block) const {
  const Store& store = stores[StoreOf(block)];
  return store.up && store.blocks.count(block) != 0;
}

int Fleet::StoredRun(const std::vector<BlockKey>& blocks, int from) const {
  size_t end = from;
  while (end < blocks.size() && Stored(blocks[end])) ++end;
  return static_cast<int>(end) - from;
}

Fleet MakeFleet(const Deployment& deployment) {
  Fleet fleet;
  fleet.deployment = &deployment;
  const int centres = static_cast<int>(deployment.data_centres.size());
  for (int i = 0; i < deployment.runners + deployment.service_runners; ++i) {
    Runner runner;
    runner.id = i;
    runner.plain = i >= deployment.runners;
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
