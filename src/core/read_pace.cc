#include "core/read_pace.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Shortest time between the beginnings of two reads of a kind. Changes that arrive during a watch
/// are not delayed, since the watch has lasted longer.
constexpr Duration kMinReadPeriod = Millis(100);
/// The same for contents that do not come from the store by at most one relay.
constexpr Duration kUncertainReadPeriod = Millis(150);

}  // namespace

Duration NextReadPause(const EndedRead& read) {
  const bool uncertain = read.from_relay && (read.relayed || !read.current);
  const Duration delay = read.from_relay ? Duration{0} : read.delay;
  const Duration period = uncertain ? kUncertainReadPeriod : kMinReadPeriod;
  return std::max({Duration{0}, delay, period - read.took});
}

}  // namespace fuchsiaweir
