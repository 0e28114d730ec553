#include "net/heap_settings.h"

#include <malloc.h>

namespace fuchsiaweir {
namespace {

/// The initial threshold of the C library. By default it rises to the largest block that has been
/// freed; bodies then come from the heap, whose gaps stay resident.
constexpr int kMapThresholdBytes = 131'072;
constexpr int kTrimThresholdBytes = 131'072;

}  // namespace

void ReturnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace fuchsiaweir
