#ifndef FUCHSIAWEIR_TEST_CAPACITY_FORMULA_H_
#define FUCHSIAWEIR_TEST_CAPACITY_FORMULA_H_

#include <functional>
#include <string>
#include <string_view>

namespace fuchsiaweir::capacity {

/// Value of a name in a formula; throws when the name is unknown.
using Lookup = std::function<double(const std::string& name)>;

/// Computes a formula of numbers, names, + - * / and parentheses, and ceil(a), max(a, b) and
/// min(a, b). Names may contain letters, digits, "_" and ".". Throws std::runtime_error.
double Evaluate(std::string_view formula, const Lookup& lookup);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_FORMULA_H_
