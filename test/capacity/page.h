#ifndef FUCHSIAWEIR_TEST_CAPACITY_PAGE_H_
#define FUCHSIAWEIR_TEST_CAPACITY_PAGE_H_

#include <string>

namespace fuchsiaweir::capacity {

/// Names of the files that UpdatePage() reads and writes.
struct PageFiles {
  std::string model;
  std::string slopes;
  std::string page;
  bool check = false;  ///< Compare the tables instead of rewriting them.
};

/// Renders the tables of the page from the inputs and formulas of the model and the measured
/// slopes. A table is delimited by `<!-- table NAME -->` and `<!-- end -->`. Returns 0, or 1 if
/// `check` is set and a table differs. Throws if a formula uses the slope of nonlinear points.
int UpdatePage(const PageFiles& files);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_PAGE_H_
