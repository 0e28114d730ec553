#ifndef FUCHSIAWEIR_NET_NOTIFIER_H_
#define FUCHSIAWEIR_NET_NOTIFIER_H_

#include <boost/asio/steady_timer.hpp>
#include <set>

#include "core/clock.h"
#include "net/awaitable.h"

namespace fuchsiaweir {

/// Wakes coroutines that wait for a change, each with its own deadline. One shared timer does not
/// do: setting its deadline wakes all other waiters, which set theirs and wake the first one again.
class Notifier {
 public:
  /// Suspends the caller until `NotifyAll` or the deadline. Callers check their condition again.
  Awaitable<void> WaitUntil(TimePoint deadline);

  void NotifyAll();

 private:
  std::set<boost::asio::steady_timer*> waiters_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_NOTIFIER_H_
