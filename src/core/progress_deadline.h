#ifndef FUCHSIAWEIR_CORE_PROGRESS_DEADLINE_H_
#define FUCHSIAWEIR_CORE_PROGRESS_DEADLINE_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits for one hop between two processes.
struct ProgressRules {
  Duration silence_timeout = Seconds(5);  ///< A hop without bytes for this long is silent.
  Duration attach_window = Seconds(10);   ///< The agent keeps an unattended run for this long.
  int max_reconnects = 3;                 ///< Connections opened without a new token in between.
};

/// What the receiving side of a hop does next.
enum class HopAction {
  kWait,       ///< Until `wake_at()`.
  kReconnect,  ///< Open a new connection and attach to the run at the delivered offset.
  kGiveUp,     ///< Resume the run elsewhere, or answer with an error.
};

/// Watches one hop of a run. Heartbeats end a silence_timeout; only tokens count as progress.
class ProgressDeadline {
 public:
  ProgressDeadline(ProgressRules rules, TimePoint now, TimePoint request_deadline);

  void OnBytesReceived(TimePoint now);
  void OnTokenReceived(TimePoint now);

  /// The connection closed or failed: the next decision need not wait for silence_timeout.
  void OnConnectionLost();

  /// Decides; a reconnect is counted when it is returned.
  HopAction Next(TimePoint now);

  /// Earliest time at which `Next` may return something other than kWait.
  TimePoint wake_at() const;

 private:
  ProgressRules rules_;
  TimePoint request_deadline_;
  TimePoint last_heard_;        ///< Last bytes from the far side.
  TimePoint connection_since_;  ///< Last bytes or last reconnect.
  int reconnects_ = 0;
  bool lost_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PROGRESS_DEADLINE_H_
