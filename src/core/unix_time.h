#ifndef FUCHSIAWEIR_CORE_UNIX_TIME_H_
#define FUCHSIAWEIR_CORE_UNIX_TIME_H_

#include <chrono>
#include <cstdint>

namespace fuchsiaweir {

/// Reads the wall clock as Unix time in milliseconds. Only daemons may call this.
inline int64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_UNIX_TIME_H_
