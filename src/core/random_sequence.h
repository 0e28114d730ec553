#ifndef FUCHSIAWEIR_CORE_RANDOM_SEQUENCE_H_
#define FUCHSIAWEIR_CORE_RANDOM_SEQUENCE_H_

#include <cstdint>

#include "core/rendezvous.h"

namespace fuchsiaweir {

/// Pseudo-random numbers from a seed.
class RandomSequence {
 public:
  explicit RandomSequence(uint64_t seed) : state_(seed) {}

  /// Returns the next number, in [0, 1).
  double Next() {
    state_ = RendezvousMix(state_, 0x632BE59BD9B4E019);
    return static_cast<double>(state_ >> 11) * 0x1.0p-53;
  }

 private:
  uint64_t state_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RANDOM_SEQUENCE_H_
