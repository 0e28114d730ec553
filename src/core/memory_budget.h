#ifndef FUCHSIAWEIR_CORE_MEMORY_BUDGET_H_
#define FUCHSIAWEIR_CORE_MEMORY_BUDGET_H_

#include <cstdint>
#include <functional>
#include <set>

namespace fuchsiaweir {

/// Limits the bytes that messages occupy together while they are received. Not thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(int64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  /// The bytes of one message; the destructor returns them.
  class Share {
   public:
    /// `on_evicted` is called at most once, when the share has to give up its bytes. It must not
    /// destroy a share.
    Share(MemoryBudget& budget, std::function<void()> on_evicted);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the number of bytes. If the budget is exceeded, evicts the largest shares. Returns
    /// false if this share is evicted.
    bool Resize(int64_t bytes);
    /// Exempts the share from eviction: the message is complete.
    void Complete() { complete_ = true; }

   private:
    friend class MemoryBudget;

    MemoryBudget& budget_;
    std::function<void()> on_evicted_;
    int64_t bytes_ = 0;
    bool complete_ = false;
    bool evicted_ = false;
  };

  int64_t used_bytes() const { return used_bytes_; }
  /// Number of shares evicted so far.
  int64_t evictions() const { return evictions_; }

 private:
  /// Returns the largest share that may be evicted, or null.
  Share* Largest() const;

  int64_t limit_bytes_;
  int64_t used_bytes_ = 0;
  int64_t evictions_ = 0;
  std::set<Share*> shares_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_MEMORY_BUDGET_H_
