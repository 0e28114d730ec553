#ifndef FUCHSIAWEIR_CORE_UPLOAD_BUDGET_H_
#define FUCHSIAWEIR_CORE_UPLOAD_BUDGET_H_

#include <cstdint>
#include <functional>
#include <set>

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits the bytes that the bodies of requests and their connections occupy together, and decides
/// the order in which large bodies are received. Not thread-safe.
class UploadBudget {
 public:
  /// Bodies up to this size are received without waiting.
  static constexpr int64_t kSmallBytes = 65'536;

  explicit UploadBudget(int64_t limit_bytes);

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
    /// Sets the number of bytes held. If the budget is exceeded, evicts the largest incomplete
    /// uploads. Returns false if this upload is evicted.
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
    int64_t bytes_ = 0;
    int64_t expected_bytes_ = 0;
    int64_t sequence_;
    TimePoint admitted_at_;
  };

  /// Admits the waiting uploads that have room, smaller ones first.
  void AdmitWaiting(TimePoint now);

  /// Adds to the bytes that connections occupy, or subtracts from them. Like a body that grows, a
  /// new connection may evict uploads.
  void AddConnectionBytes(int64_t bytes);

  /// Bytes of bodies that are held.
  int64_t used_bytes() const { return used_bytes_; }
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
  /// Evicts incomplete uploads until the limit is kept.
  void EvictExcess();
  /// Returns the first upload that waits, or the last one; null if none waits.
  Upload* FirstWaiting() const;
  Upload* LastWaiting() const;
  /// Returns the largest upload that may be evicted, or null.
  Upload* LargestIncomplete() const;
  static bool Before(const Upload& one, const Upload& other);

  int64_t limit_bytes_;
  int64_t used_bytes_ = 0;
  int64_t connection_bytes_ = 0;
  int64_t refusals_ = 0;
  int64_t next_sequence_ = 0;
  TimePoint now_;  ///< Latest time that the budget has been told.
  std::set<Upload*> uploads_;
  std::set<Upload*> large_;  ///< Waiting or admitted.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_UPLOAD_BUDGET_H_
