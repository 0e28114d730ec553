#ifndef FUCHSIAWEIR_NET_NOTIFIER_H_
#define FUCHSIAWEIR_NET_NOTIFIER_H_

#include <boost/asio/steady_timer.hpp>
#include <set>

#include "core/clock.h"
#include "net/awaitable.h"

namespace fuchsiaweir {

/// Condition variable for coroutines. Each waiter has its own deadline.
class Notifier {
 public:
  /// Suspends the caller until `NotifyAll` or the deadline. Callers must recheck their condition.
  Awaitable<void> WaitUntil(TimePoint deadline);

  void NotifyAll();

 private:
  // One timer per waiter: setting the deadline of a shared timer would wake all other waiters,
  // which would set theirs and wake the first one again.
  std::set<boost::asio::steady_timer*> waiters_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_NOTIFIER_H_
