#ifndef FUCHSIAWEIR_TEST_CAPACITY_PAGE_H_
#define FUCHSIAWEIR_TEST_CAPACITY_PAGE_H_

#include <string>

namespace fuchsiaweir::capacity {

struct PageFiles {
  std::string model;
  std::string slopes;
  std::string page;
  bool check = false;  ///< Compare instead of rewriting.
};

/// Computes the tables of the page from the model's inputs and formulas and the measured slopes.
/// A table stands between `<!-- table NAME -->` and `<!-- end -->`. Returns 0, or 1 when `check` is
/// set and a table differs. Throws when a formula uses the slope of points that bend.
int UpdatePage(const PageFiles& files);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_PAGE_H_
