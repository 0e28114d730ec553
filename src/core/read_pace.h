#ifndef FUCHSIAWEIR_CORE_READ_PACE_H_
#define FUCHSIAWEIR_CORE_READ_PACE_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// A read of one kind of the store's objects that has ended with contents.
struct EndedRead {
  Duration delay{0};  ///< Wanted between two reads of the store.
  bool from_relay = false;
  bool relayed = false;  ///< The relay did not read the contents from the store.
  bool current = false;
  Duration took{0};  ///< Time since the read began.
};

/// Returns how long to wait until the next read of the kind.
///
/// Load pattern: reads that end at once. Gateways that have lost the store read each other, and a
/// store without its history answers each watch with 410. Each loop took a whole core and the
/// store's rate.
Duration NextReadPause(const EndedRead& read);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_READ_PACE_H_
