#ifndef FUCHSIAWEIR_CORE_LISTED_HOST_H_
#define FUCHSIAWEIR_CORE_LISTED_HOST_H_

#include <string>

namespace fuchsiaweir {

/// A host as the platform's host list shows it. The list lags: a new host may be absent from it and
/// a dead host may still be in it.
struct ListedHost {
  std::string name;
  std::string data_centre;
  bool leaving = false;  ///< The platform is about to take the host away.

  bool operator==(const ListedHost&) const = default;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LISTED_HOST_H_
