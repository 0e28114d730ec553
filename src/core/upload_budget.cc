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

UploadBudget::UploadBudget(MemoryBudget& memory) : memory_(memory) {
  memory_.SetRoomListener([this]() { AdmitWaiting(now_); });
}

UploadBudget::~UploadBudget() { memory_.SetRoomListener(nullptr); }

UploadBudget::Upload::Upload(UploadBudget& budget, std::function<void()> on_change)
    : budget_(budget),
      on_change_(std::move(on_change)),
      sequence_(budget.next_sequence_++),
      share_(budget.memory_, MemoryUse::kBody, [this]() { budget_.OnEvicted(*this); }) {}

UploadBudget::Upload::~Upload() { budget_.large_.erase(this); }

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
  if (budget_.waiting() * kUnreadBytes <= budget_.memory_.limit_bytes() / kWaitingDivisor) return;
  budget_.Refuse(*budget_.LastWaiting());
}

bool UploadBudget::Upload::Resize(int64_t bytes) { return share_.Resize(bytes) && !evicted(); }

void UploadBudget::Upload::Complete() {
  if (evicted()) return;
  state_ = State::kComplete;
  share_.Complete();
  if (budget_.large_.erase(this) > 0) budget_.AdmitWaiting(budget_.now_);
}

void UploadBudget::Refuse(Upload& upload) { upload.share_.Evict(); }

void UploadBudget::OnEvicted(Upload& upload) {
  upload.state_ = Upload::State::kEvicted;
  large_.erase(&upload);
  ++refusals_;
  upload.on_change_();
}

void UploadBudget::AdmitWaiting(TimePoint now) {
  now_ = std::max(now_, now);
  // Memory that `MakeRoom` returns calls this function again.
  if (admitting_) return;
  admitting_ = true;
  while (Upload* const first = FirstWaiting()) {
    if (!MakeRoom(*first)) break;
    first->state_ = Upload::State::kAdmitted;
    // It could not send while it waited.
    first->share_.SetPhase(MemoryBudget::Phase::kReceiving);
    first->admitted_at_ = now_;
    first->on_change_();
  }
  admitting_ = false;
}

bool UploadBudget::MakeRoom(const Upload& upload) {
  while (!HasRoom(upload)) {
    if (!memory_.EvictStalled()) return false;
  }
  return upload.waiting();
}

int64_t UploadBudget::OutstandingBytes(const Upload& upload) const {
  if (now_ - upload.admitted_at_ >= kClaimTime) return 0;
  return std::max<int64_t>(0, upload.expected_bytes_ - upload.share_.bytes());
}

bool UploadBudget::HasRoom(const Upload& upload) const {
  int64_t bytes = memory_.claimed_bytes() - upload.share_.bytes() + upload.expected_bytes_;
  bool alone = true;
  for (const Upload* other : large_) {
    if (other == &upload || other->waiting()) continue;
    bytes += OutstandingBytes(*other);
    alone = false;
  }
  const int64_t share = memory_.limit_bytes() - memory_.limit_bytes() / kSmallDivisor;
  // A body that is larger than the share is received alone.
  if (upload.expected_bytes_ > share && alone && memory_.used_bytes() == upload.share_.bytes()) {
    return true;
  }
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

int64_t UploadBudget::waiting() const {
  return std::count_if(large_.begin(), large_.end(),
                       [](const Upload* upload) { return upload->waiting(); });
}

}  // namespace fuchsiaweir
