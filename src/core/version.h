#ifndef FUCHSIAWEIR_CORE_VERSION_H_
#define FUCHSIAWEIR_CORE_VERSION_H_

namespace fuchsiaweir {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_VERSION_H_
