#ifndef FUCHSIAWEIR_CORE_MEMORY_BUDGET_H_
#define FUCHSIAWEIR_CORE_MEMORY_BUDGET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <set>
#include <string_view>
#include <utility>

#include "core/clock.h"

namespace fuchsiaweir {

/// What memory that others can fill is used for.
enum class MemoryUse {
  kBody,        ///< Bodies of callers' requests.
  kAnswer,      ///< Runners' answers that are held.
  kPeer,        ///< Responses to peers.
  kConnection,  ///< Callers' connections and the heads of their requests.
  kParts,       ///< Lists of the stores' parts.
};
constexpr size_t kMemoryUses = 5;
std::string_view Name(MemoryUse use);

/// Owns all memory that callers, runners, peers and stores can fill. Beyond the limit it evicts
/// messages: first those without progress, oldest and largest first, then the largest that are
/// being received. Not thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(int64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  void SetLimit(int64_t limit_bytes);
  /// A message that moves fewer than `bytes_per_second` over a period of this length is without
  /// progress. 0: none is.
  void SetMinProgress(int64_t bytes_per_second, Duration period);

  /// How far a message is, which decides when it may be evicted.
  enum class Phase {
    kReceiving,   ///< May be evicted.
    kHeld,        ///< Is not evicted.
    kDelivering,  ///< May be evicted if it is without progress.
  };

  /// The bytes of one message; the destructor returns them.
  class Share {
   public:
    /// `on_evicted` is called at most once, when the share has to give up its bytes. It must not
    /// destroy a share.
    Share(MemoryBudget& budget, MemoryUse use, std::function<void()> on_evicted);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the number of bytes; growth is progress. If the budget is exceeded, evicts shares.
    /// Returns false if this share is evicted.
    bool Resize(int64_t bytes);
    /// Claims room up to the size that the message is expected to reach.
    void Expect(int64_t bytes);
    /// Counts bytes that have been delivered.
    void AddProgress(int64_t bytes) { moved_bytes_ += bytes; }
    void SetPhase(Phase phase);
    /// Exempts the share from eviction: the message is complete.
    void Complete() { SetPhase(Phase::kHeld); }
    void Evict();

    int64_t bytes() const { return bytes_; }
    Phase phase() const { return phase_; }
    bool evicted() const { return evicted_; }

   private:
    friend class MemoryBudget;

    void SetBytes(int64_t bytes, int64_t expected_bytes);

    MemoryBudget& budget_;
    MemoryUse use_;
    std::function<void()> on_evicted_;
    Phase phase_ = Phase::kReceiving;
    int64_t bytes_ = 0;
    int64_t expected_bytes_ = 0;
    bool evicted_ = false;
    int64_t moved_bytes_ = 0;  ///< In the present period.
    TimePoint period_start_;
    bool stalled_ = false;
    TimePoint stalled_since_;
  };

  /// Adds to the bytes of a use that cannot be evicted, or subtracts from them.
  void AddFixed(MemoryUse use, int64_t bytes);

  /// Finds the messages without progress.
  void Advance(TimePoint now);
  /// Evicts the first message without progress. Returns whether there was one.
  bool EvictStalled();
  /// `on_room` is called when memory has been returned. It must not resize a share.
  void SetRoomListener(std::function<void()> on_room) { on_room_ = std::move(on_room); }

  int64_t limit_bytes() const { return limit_bytes_; }
  /// Bytes of all messages.
  int64_t used_bytes() const { return used_bytes_; }
  int64_t used_bytes(MemoryUse use) const { return uses_[static_cast<size_t>(use)]; }
  /// Bytes of messages and fixed uses, with the room that messages claim.
  int64_t claimed_bytes() const { return used_bytes_ + fixed_bytes_ + outstanding_bytes_; }
  /// Number of shares evicted so far.
  int64_t evictions() const { return evictions_; }
  int64_t evictions(MemoryUse use) const { return use_evictions_[static_cast<size_t>(use)]; }
  /// Number of those that were without progress.
  int64_t stalled_evictions() const { return stalled_evictions_; }

 private:
  void EvictExcess();
  /// Returns the next share to evict, or null.
  Share* NextVictim() const;
  static bool MayEvict(const Share& share);
  static bool Before(const Share& one, const Share& other);
  void OnRoom() const;

  int64_t limit_bytes_;
  int64_t min_bytes_per_second_ = 0;
  Duration period_ = Seconds(1);
  int64_t used_bytes_ = 0;
  int64_t fixed_bytes_ = 0;
  int64_t outstanding_bytes_ = 0;  ///< Claimed by messages beyond their bytes.
  std::array<int64_t, kMemoryUses> uses_{};
  int64_t evictions_ = 0;
  std::array<int64_t, kMemoryUses> use_evictions_{};
  int64_t stalled_evictions_ = 0;
  TimePoint now_;  ///< Latest time that the budget has been told.
  std::set<Share*> shares_;
  std::function<void()> on_room_;
};

/// Returns the limit of the budget of a process that occupies `rest_bytes` without any message.
int64_t MessageMemoryBytes(int64_t memory_bytes, int64_t rest_bytes);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_MEMORY_BUDGET_H_
