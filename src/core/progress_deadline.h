#ifndef FUCHSIAWEIR_CORE_PROGRESS_DEADLINE_H_
#define FUCHSIAWEIR_CORE_PROGRESS_DEADLINE_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits for the stream of one run between two processes (a hop).
struct ProgressRules {
  Duration silence_timeout = Seconds(5);  ///< A connection without bytes this long is stalled.
  Duration attach_window = Seconds(10);   ///< The agent cancels a run without a reader after this.
  int max_reconnects = 3;                 ///< Consecutive reconnects without a new token.
};

/// Next action of the receiving side of a hop.
enum class HopAction {
  kWait,       ///< Wait until `wake_at()`.
  kReconnect,  ///< Open a new connection and attach to the run at the delivered offset.
  kGiveUp,     ///< Resume the run on another runner, or respond with an error.
};

/// Tracks one hop of a run. Heartbeats restart the timeout; only tokens count as progress.
class ProgressDeadline {
 public:
  ProgressDeadline(ProgressRules rules, TimePoint now, TimePoint request_deadline);

  void OnBytesReceived(TimePoint now);
  void OnTokenReceived(TimePoint now);

  /// The connection closed or failed, so the next decision does not wait for the timeout.
  void OnConnectionLost();

  /// Returns the next action. Counts a reconnect when it returns kReconnect.
  HopAction Next(TimePoint now);

  /// Returns the earliest time at which `Next` may return anything but kWait.
  TimePoint wake_at() const;

 private:
  ProgressRules rules_;
  TimePoint request_deadline_;
  TimePoint last_received_;  ///< When bytes last arrived from the other process.
  TimePoint timeout_start_;  ///< Time of the last bytes or the last reconnect.
  int reconnects_ = 0;
  bool connection_lost_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PROGRESS_DEADLINE_H_
