#ifndef FUCHSIAWEIR_CORE_LISTED_HOST_H_
#define FUCHSIAWEIR_CORE_LISTED_HOST_H_

#include <string>

namespace fuchsiaweir {

/// An entry of the platform's host list. The list lags behind: a new host may be missing from it
/// and a failed host may still be in it.
struct ListedHost {
  std::string name;
  std::string data_centre;
  bool leaving = false;  ///< The platform is about to remove the host.

  bool operator==(const ListedHost&) const = default;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LISTED_HOST_H_
