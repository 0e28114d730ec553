#ifndef FUCHSIAWEIR_CORE_SOURCE_CHOICE_H_
#define FUCHSIAWEIR_CORE_SOURCE_CHOICE_H_

#include <cstdint>

#include "core/clock.h"

namespace fuchsiaweir {

/// Where a process reads one kind of the store's objects.
enum class ReadSource {
  kStore,
  kPreferredRelay,  ///< The gateway of its data centre that reads the kind for the others.
  kOtherGateway,    ///< Any gateway that knows a current state.
};

/// Decides where a process reads one kind of the store's objects next.
///
/// Load pattern: a relay loses the store and falls back to the gateways that read from it. A
/// process whose own path to the store is sound would wait for the relay, and the relay for it.
class SourceChoice {
 public:
  /// `has_relay`: another gateway is the preferred relay. `store_rejects`: the store has rejected
  /// calls of this process a moment ago.
  ReadSource Next(bool has_relay, bool store_rejects, TimePoint now) const;
  /// Records a read. `current`: it brought a current state, and in the case of the preferred relay
  /// one that the relay itself had read from the store.
  void OnRead(ReadSource source, bool current, TimePoint now);
  /// Reads since the last one that brought a current state.
  int64_t failures() const { return failures_; }

 private:
  int64_t failures_ = 0;
  ReadSource last_ = ReadSource::kStore;
  TimePoint relay_passed_over_until_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_SOURCE_CHOICE_H_
