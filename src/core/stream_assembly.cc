#include "core/stream_assembly.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace fuchsiaweir {

StreamAssembly::StreamAssembly(std::string run, int64_t attempt)
    : run_(std::move(run)), attempt_(attempt) {}

Delivery StreamAssembly::Accept(const Frame& frame) {
  if (frame.run != run_ || frame.attempt != attempt_ || attempt_ended_) {
    return {FrameVerdict::kMismatch, {}};
  }
  const auto size = static_cast<int64_t>(frame.tokens.size());
  // Compares before the addition below, which an untrusted offset could overflow.
  const bool in_order = frame.offset >= 0 && frame.offset <= position_;
  if (!in_order && !frame.error) return {FrameVerdict::kGap, {}};

  Delivery delivery;
  const bool extends = in_order && frame.offset + size > position_;
  if (extends) {
    delivery.tokens.assign(frame.tokens.begin() + (position_ - frame.offset), frame.tokens.end());
  }
  if (frame.error) {
    position_ += static_cast<int64_t>(delivery.tokens.size());
    attempt_ended_ = true;
    delivery.verdict = FrameVerdict::kFailed;
    return delivery;
  }
  // A final frame that ends before the position is inconsistent with the delivered output.
  if (frame.done && frame.offset + size < position_) return {FrameVerdict::kGap, {}};

  const bool heartbeat = size == 0 && frame.offset == position_;
  const bool accepted = extends || heartbeat || frame.done;
  delivery.verdict = accepted ? FrameVerdict::kAccepted : FrameVerdict::kDuplicate;
  position_ += static_cast<int64_t>(delivery.tokens.size());
  if (frame.done) {
    attempt_ended_ = true;
    complete_ = true;
    finish_ = frame.finish;
    usage_ = frame.usage;
  }
  return delivery;
}

bool StreamAssembly::Resume(int64_t attempt) {
  if (attempt <= attempt_ || complete_) return false;
  attempt_ = attempt;
  attempt_ended_ = false;
  return true;
}

Result<void> StreamAssembly::CheckComplete() const {
  if (complete_) return boost::outcome_v2::success();
  return Error{ErrorCode::kIncompleteAnswer, RunState::kUnknown,
               absl::StrCat("run ", run_, " attempt ", attempt_, " ended incomplete after ",
                            position_, " tokens")};
}

}  // namespace fuchsiaweir
