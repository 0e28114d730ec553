#ifndef FUCHSIAWEIR_NET_HEAP_SETTINGS_H_
#define FUCHSIAWEIR_NET_HEAP_SETTINGS_H_

namespace fuchsiaweir {

/// Lets the allocator return the memory of large messages to the system as soon as they end. Call
/// at the start of the program.
void ReturnFreedMemory();

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HEAP_SETTINGS_H_
