#include "core/progress_deadline.h"

#include <algorithm>

namespace fuchsiaweir {

ProgressDeadline::ProgressDeadline(ProgressRules rules, TimePoint now, TimePoint request_deadline)
    : rules_(rules),
      request_deadline_(request_deadline),
      last_heard_(now),
      connection_since_(now) {}

void ProgressDeadline::OnBytesReceived(TimePoint now) {
  last_heard_ = now;
  connection_since_ = now;
  lost_ = false;
}

void ProgressDeadline::OnTokenReceived(TimePoint now) {
  OnBytesReceived(now);
  // Heartbeats do not reset the count: an agent that only answers attaches must not hold the run.
  reconnects_ = 0;
}

void ProgressDeadline::OnConnectionLost() { lost_ = true; }

HopAction ProgressDeadline::Next(TimePoint now) {
  if (now >= request_deadline_) return HopAction::kGiveUp;
  if (!lost_ && now < wake_at()) return HopAction::kWait;
  // The agent notices the loss within the silence_timeout limit and cancels after the attach
  // window.
  const bool cancelled = now - last_heard_ >= rules_.silence_timeout + rules_.attach_window;
  if (cancelled || reconnects_ >= rules_.max_reconnects) return HopAction::kGiveUp;
  ++reconnects_;
  connection_since_ = now;
  lost_ = false;
  return HopAction::kReconnect;
}

TimePoint ProgressDeadline::wake_at() const {
  return std::min(connection_since_ + rules_.silence_timeout, request_deadline_);
}

}  // namespace fuchsiaweir
