#ifndef FUCHSIAWEIR_CORE_STORE_BACKOFF_H_
#define FUCHSIAWEIR_CORE_STORE_BACKOFF_H_

#include <string>

#include "core/clock.h"
#include "core/random_sequence.h"
#include "core/rendezvous.h"

namespace fuchsiaweir {

/// Decides how soon a process calls the store again that has rejected it.
///
/// Load pattern: the store rejects a third of the hosts for many seconds, and each of them calls it
/// several times a second for each kind of object, although other gateways relay its contents. The
/// store counts rejected calls too.
class StoreBackoff {
 public:
  /// `process` is the name of the process, which seeds its waits.
  explicit StoreBackoff(const std::string& process) : random_(RendezvousHash(process)) {}

  /// Records a call that the store rejected, or could not be reached for.
  void OnRejected(TimePoint now);
  /// Records a call that the store executed.
  void OnExecuted() { period_ = Duration{0}; }
  /// Whether a relay, if there is one, is to be read instead of the store.
  bool Active(TimePoint now) const { return period_ > Duration{0} && now < until_; }

 private:
  RandomSequence random_;
  Duration period_{0};  ///< Zero: the last call was executed.
  TimePoint until_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_STORE_BACKOFF_H_
