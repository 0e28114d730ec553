#include "core/upload_budget.h"

#include <algorithm>
#include <utility>

namespace fuchsiaweir {
namespace {

/// Time in which an admitted upload is expected to arrive. A slower one keeps what it holds, but
/// no room for the rest.
constexpr Duration kClaimTime = Seconds(2);
/// Share of the budget that only connections and small bodies may use.
constexpr int64_t kSmallDivisor = 4;
/// Share of the budget for unread bytes of uploads that wait.
constexpr int64_t kWaitingDivisor = 10;
/// Unread bytes of a connection that is not read: the default receive buffer.
constexpr int64_t kUnreadBytes = 131'072;

}  // namespace

UploadBudget::UploadBudget(int64_t limit_bytes) : limit_bytes_(limit_bytes) {}

UploadBudget::Upload::Upload(UploadBudget& budget, std::function<void()> on_change)
    : budget_(budget), on_change_(std::move(on_change)), sequence_(budget.next_sequence_++) {
  budget_.uploads_.insert(this);
}

UploadBudget::Upload::~Upload() {
  budget_.used_bytes_ -= bytes_;
  budget_.uploads_.erase(this);
  budget_.large_.erase(this);
  budget_.AdmitWaiting(budget_.now_);
}

// Load pattern: more large uploads at once than the memory holds. Receiving a few at a time at full
// speed completes more of them than receiving all in parts, which fills the memory with parts.
void UploadBudget::Upload::Expect(int64_t bytes, TimePoint now) {
  if (state_ != State::kSmall) return;
  expected_bytes_ = bytes;
  if (bytes <= kSmallBytes) return;
  state_ = State::kWaiting;
  budget_.large_.insert(this);
  budget_.AdmitWaiting(now);
  if (!waiting()) return;
  if (budget_.waiting() * kUnreadBytes <= budget_.limit_bytes_ / kWaitingDivisor) return;
  budget_.Refuse(*budget_.LastWaiting());
}

// Load pattern: slow uploads that together fill the memory before any of them is complete. The
// largest one gives way, so that the others can go on.
bool UploadBudget::Upload::Resize(int64_t bytes) {
  if (evicted()) return false;
  const bool shrinks = bytes < bytes_;
  budget_.used_bytes_ += bytes - bytes_;
  bytes_ = bytes;
  budget_.EvictExcess();
  if (shrinks) budget_.AdmitWaiting(budget_.now_);
  return !evicted();
}

void UploadBudget::Upload::Complete() {
  if (evicted()) return;
  state_ = State::kComplete;
  if (budget_.large_.erase(this) > 0) budget_.AdmitWaiting(budget_.now_);
}

void UploadBudget::EvictExcess() {
  while (used_bytes_ + connection_bytes_ > limit_bytes_) {
    Upload* const largest = LargestIncomplete();
    if (largest == nullptr) return;
    Refuse(*largest);
  }
}

void UploadBudget::AddConnectionBytes(int64_t bytes) {
  connection_bytes_ += bytes;
  if (bytes > 0) EvictExcess();
  if (bytes < 0) AdmitWaiting(now_);
}

void UploadBudget::Refuse(Upload& upload) {
  if (upload.evicted()) return;
  used_bytes_ -= std::exchange(upload.bytes_, 0);
  upload.state_ = Upload::State::kEvicted;
  large_.erase(&upload);
  ++refusals_;
  upload.on_change_();
}

void UploadBudget::AdmitWaiting(TimePoint now) {
  now_ = std::max(now_, now);
  while (Upload* const first = FirstWaiting()) {
    if (!HasRoom(*first)) return;
    first->state_ = Upload::State::kAdmitted;
    first->admitted_at_ = now_;
    first->on_change_();
  }
}

int64_t UploadBudget::OutstandingBytes(const Upload& upload) const {
  if (now_ - upload.admitted_at_ >= kClaimTime) return 0;
  return std::max<int64_t>(0, upload.expected_bytes_ - upload.bytes_);
}

bool UploadBudget::HasRoom(const Upload& upload) const {
  int64_t bytes = connection_bytes_ + used_bytes_ - upload.bytes_ + upload.expected_bytes_;
  bool alone = true;
  for (const Upload* other : large_) {
    if (other == &upload || other->waiting()) continue;
    bytes += OutstandingBytes(*other);
    alone = false;
  }
  const int64_t share = limit_bytes_ - limit_bytes_ / kSmallDivisor;
  // A body that is larger than the share is received alone.
  if (upload.expected_bytes_ > share && alone && used_bytes_ == upload.bytes_) return true;
  return bytes <= share;
}

bool UploadBudget::Before(const Upload& one, const Upload& other) {
  return std::pair(one.expected_bytes_, one.sequence_) <
         std::pair(other.expected_bytes_, other.sequence_);
}

UploadBudget::Upload* UploadBudget::FirstWaiting() const {
  Upload* first = nullptr;
  for (Upload* upload : large_) {
    if (upload->waiting() && (first == nullptr || Before(*upload, *first))) first = upload;
  }
  return first;
}

UploadBudget::Upload* UploadBudget::LastWaiting() const {
  Upload* last = nullptr;
  for (Upload* upload : large_) {
    if (upload->waiting() && (last == nullptr || Before(*last, *upload))) last = upload;
  }
  return last;
}

UploadBudget::Upload* UploadBudget::LargestIncomplete() const {
  Upload* largest = nullptr;
  for (Upload* upload : uploads_) {
    if (upload->state_ == Upload::State::kComplete || upload->bytes_ == 0) continue;
    if (largest == nullptr || upload->bytes_ > largest->bytes_) largest = upload;
  }
  return largest;
}

int64_t UploadBudget::waiting() const {
  return std::count_if(large_.begin(), large_.end(),
                       [](const Upload* upload) { return upload->waiting(); });
}

}  // namespace fuchsiaweir
