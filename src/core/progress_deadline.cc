#include "core/progress_deadline.h"

#include <algorithm>

namespace fuchsiaweir {

ProgressDeadline::ProgressDeadline(ProgressRules rules, TimePoint now, TimePoint request_deadline)
    : rules_(rules),
      request_deadline_(request_deadline),
      last_received_(now),
      timeout_start_(now) {}

void ProgressDeadline::OnBytesReceived(TimePoint now) {
  last_received_ = now;
  timeout_start_ = now;
  connection_lost_ = false;
}

void ProgressDeadline::OnTokenReceived(TimePoint now) {
  OnBytesReceived(now);
  // Only tokens reset the count: an agent that accepts every attach but makes no progress must not
  // block the run indefinitely.
  reconnects_ = 0;
}

void ProgressDeadline::OnConnectionLost() { connection_lost_ = true; }

HopAction ProgressDeadline::Next(TimePoint now) {
  if (now >= request_deadline_) return HopAction::kGiveUp;
  if (!connection_lost_ && now < wake_at()) return HopAction::kWait;
  // The agent detects the loss within the timeout and cancels the run after the attach window.
  const bool cancelled = now - last_received_ >= rules_.silence_timeout + rules_.attach_window;
  if (cancelled || reconnects_ >= rules_.max_reconnects) return HopAction::kGiveUp;
  ++reconnects_;
  timeout_start_ = now;
  connection_lost_ = false;
  return HopAction::kReconnect;
}

TimePoint ProgressDeadline::wake_at() const {
  return std::min(timeout_start_ + rules_.silence_timeout, request_deadline_);
}

}  // namespace fuchsiaweir
