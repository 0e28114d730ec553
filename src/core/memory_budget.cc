#include "core/memory_budget.h"

#include <algorithm>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr std::array<std::string_view, kMemoryUses> kUseNames{"body", "answer", "peer",
                                                              "connection", "parts"};
/// Percentage of the memory that is kept for ordinary small requests and answers, the desired
/// state, and what the allocator and a message's copy in growth take beyond the bytes of messages.
constexpr int64_t kReservePercent = 30;
/// Percentage that messages may use however much the process occupies at rest.
constexpr int64_t kMinMessagePercent = 25;

}  // namespace

std::string_view Name(MemoryUse use) { return kUseNames[static_cast<size_t>(use)]; }

MemoryBudget::Share::Share(MemoryBudget& budget, MemoryUse use, std::function<void()> on_evicted)
    : budget_(budget), use_(use), on_evicted_(std::move(on_evicted)), period_start_(budget.now_) {
  budget_.shares_.insert(this);
}

MemoryBudget::Share::~Share() {
  budget_.shares_.erase(this);
  SetBytes(0, 0);
  budget_.OnRoom();
}

void MemoryBudget::Share::SetBytes(int64_t bytes, int64_t expected_bytes) {
  budget_.outstanding_bytes_ -= std::max<int64_t>(0, expected_bytes_ - bytes_);
  budget_.used_bytes_ += bytes - bytes_;
  budget_.uses_[static_cast<size_t>(use_)] += bytes - bytes_;
  bytes_ = bytes;
  expected_bytes_ = expected_bytes;
  budget_.outstanding_bytes_ += std::max<int64_t>(0, expected_bytes_ - bytes_);
}

// Load pattern: one faulty runner sends without end on many connections, beside sound runners. The
// endless messages are the largest, so that evicting these lets the sound ones go on.
bool MemoryBudget::Share::Resize(int64_t bytes) {
  if (evicted_) return false;
  const bool shrinks = bytes < bytes_;
  if (!shrinks) moved_bytes_ += bytes - bytes_;
  SetBytes(bytes, expected_bytes_);
  if (shrinks) {
    budget_.OnRoom();
  } else {
    budget_.EvictExcess();
  }
  return !evicted_;
}

void MemoryBudget::Share::Expect(int64_t bytes) {
  if (!evicted_) SetBytes(bytes_, bytes);
}

void MemoryBudget::Share::SetPhase(Phase phase) {
  phase_ = phase;
  if (phase != Phase::kReceiving) SetBytes(bytes_, 0);
  stalled_ = false;
  moved_bytes_ = 0;
  period_start_ = budget_.now_;
}

void MemoryBudget::Share::Evict() {
  if (evicted_) return;
  evicted_ = true;
  ++budget_.evictions_;
  ++budget_.use_evictions_[static_cast<size_t>(use_)];
  if (stalled_) ++budget_.stalled_evictions_;
  SetBytes(0, 0);
  on_evicted_();
  budget_.OnRoom();
}

void MemoryBudget::SetLimit(int64_t limit_bytes) {
  const bool more = limit_bytes > limit_bytes_;
  limit_bytes_ = limit_bytes;
  if (more) OnRoom();
}

void MemoryBudget::SetMinProgress(int64_t bytes_per_second, Duration period) {
  min_bytes_per_second_ = bytes_per_second;
  period_ = period;
}

void MemoryBudget::AddFixed(MemoryUse use, int64_t bytes) {
  fixed_bytes_ += bytes;
  uses_[static_cast<size_t>(use)] += bytes;
  if (bytes > 0) {
    EvictExcess();
  } else {
    OnRoom();
  }
}

// Load pattern: clients that send all but the end of a body, or ask for a large answer that they
// never read. Whoever still sends or reads goes on.
void MemoryBudget::Advance(TimePoint now) {
  now_ = std::max(now_, now);
  for (Share* share : shares_) {
    // A message that began before the budget was told a time.
    if (share->period_start_ == TimePoint{}) share->period_start_ = now_;
    const Duration elapsed = now_ - share->period_start_;
    if (share->phase_ == Phase::kHeld || elapsed < period_) continue;
    const double enough = static_cast<double>(min_bytes_per_second_) * ToSeconds(elapsed);
    const bool stalled = static_cast<double>(share->moved_bytes_) < enough;
    if (stalled && !share->stalled_) share->stalled_since_ = share->period_start_;
    share->stalled_ = stalled;
    share->moved_bytes_ = 0;
    share->period_start_ = now_;
  }
}

bool MemoryBudget::EvictStalled() {
  Share* const victim = NextVictim();
  if (victim == nullptr || !victim->stalled_) return false;
  victim->Evict();
  return true;
}

void MemoryBudget::EvictExcess() {
  while (used_bytes_ + fixed_bytes_ > limit_bytes_) {
    Share* const victim = NextVictim();
    if (victim == nullptr) return;
    victim->Evict();
  }
}

bool MemoryBudget::MayEvict(const Share& share) {
  if (share.bytes_ == 0 || share.phase_ == Phase::kHeld) return false;
  return share.phase_ == Phase::kReceiving || share.stalled_;
}

bool MemoryBudget::Before(const Share& one, const Share& other) {
  if (one.stalled_ != other.stalled_) return one.stalled_;
  if (one.stalled_ && one.stalled_since_ != other.stalled_since_) {
    return one.stalled_since_ < other.stalled_since_;
  }
  return one.bytes_ > other.bytes_;
}

MemoryBudget::Share* MemoryBudget::NextVictim() const {
  Share* first = nullptr;
  for (Share* share : shares_) {
    if (MayEvict(*share) && (first == nullptr || Before(*share, *first))) first = share;
  }
  return first;
}

void MemoryBudget::OnRoom() const {
  if (on_room_) on_room_();
}

int64_t MessageMemoryBytes(int64_t memory_bytes, int64_t rest_bytes) {
  return std::max(memory_bytes / 100 * kMinMessagePercent,
                  memory_bytes - rest_bytes - memory_bytes / 100 * kReservePercent);
}

}  // namespace fuchsiaweir
