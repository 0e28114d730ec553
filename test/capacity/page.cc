#include "capacity/page.h"

#include <stdexcept>

namespace fuchsiaweir::capacity {

int UpdatePage(const PageFiles&) { throw std::runtime_error("the page is not written yet"); }

}  // namespace fuchsiaweir::capacity
