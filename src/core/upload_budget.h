#ifndef FUCHSIAWEIR_CORE_UPLOAD_BUDGET_H_
#define FUCHSIAWEIR_CORE_UPLOAD_BUDGET_H_

#include <cstdint>
#include <functional>
#include <set>

#include "core/clock.h"
#include "core/memory_budget.h"

namespace fuchsiaweir {

/// Decides the order in which large bodies of requests are received, within the memory that other
/// uses of the budget leave. Not thread-safe.
class UploadBudget {
 public:
  /// Bodies up to this size are received without waiting.
  static constexpr int64_t kSmallBytes = 65'536;

  /// Listens for memory that is returned, so a budget has at most one of these.
  explicit UploadBudget(MemoryBudget& memory);
  ~UploadBudget();
  UploadBudget(const UploadBudget&) = delete;
  UploadBudget& operator=(const UploadBudget&) = delete;

  /// The body of one request, from its header to the end of the request.
  class Upload {
   public:
    /// `on_change` is called when the upload no longer waits and when it is evicted. It must not
    /// destroy an upload.
    Upload(UploadBudget& budget, std::function<void()> on_change);
    ~Upload();
    Upload(const Upload&) = delete;
    Upload& operator=(const Upload&) = delete;

    /// Sets the size that the body is expected to reach. A large body may have to wait.
    void Expect(int64_t bytes, TimePoint now);
    /// Sets the number of bytes held. If the budget is exceeded, evicts messages. Returns false if
    /// this upload is evicted.
    bool Resize(int64_t bytes);
    /// Exempts the upload from eviction: the body is complete.
    void Complete();

    bool waiting() const { return state_ == State::kWaiting; }
    bool evicted() const { return state_ == State::kEvicted; }
    int64_t expected_bytes() const { return expected_bytes_; }

   private:
    friend class UploadBudget;
    enum class State { kSmall, kWaiting, kAdmitted, kComplete, kEvicted };

    UploadBudget& budget_;
    std::function<void()> on_change_;
    State state_ = State::kSmall;
    int64_t expected_bytes_ = 0;
    int64_t sequence_;
    TimePoint admitted_at_;
    MemoryBudget::Share share_;
  };

  /// Admits the waiting uploads that have room, smaller ones first.
  void AdmitWaiting(TimePoint now);

  /// Adds to the bytes that connections occupy, or subtracts from them. Like a body that grows, a
  /// new connection may evict uploads.
  void AddConnectionBytes(int64_t bytes) { memory_.AddFixed(MemoryUse::kConnection, bytes); }

  /// Bytes of bodies that are held.
  int64_t used_bytes() const { return memory_.used_bytes(MemoryUse::kBody); }
  /// Number of uploads that wait for room.
  int64_t waiting() const;
  /// Number of uploads that got no room, or gave theirs up.
  int64_t refusals() const { return refusals_; }
  /// Counts an upload that has waited for too long and refuses it.
  void Refuse(Upload& upload);

 private:
  /// Returns the bytes that an admitted upload is expected to occupy beyond those that it holds.
  int64_t OutstandingBytes(const Upload& upload) const;
  bool HasRoom(const Upload& upload) const;
  /// Evicts messages without progress until the upload has room. Returns whether it has.
  bool MakeRoom(const Upload& upload);
  void OnEvicted(Upload& upload);
  /// Returns the first upload that waits, or the last one; null if none waits.
  Upload* FirstWaiting() const;
  Upload* LastWaiting() const;
  static bool Before(const Upload& one, const Upload& other);

  MemoryBudget& memory_;
  bool admitting_ = false;
  int64_t refusals_ = 0;
  int64_t next_sequence_ = 0;
  TimePoint now_;            ///< Latest time that the budget has been told.
  std::set<Upload*> large_;  ///< Waiting or admitted.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_UPLOAD_BUDGET_H_
