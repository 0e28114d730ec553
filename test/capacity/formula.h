#ifndef FUCHSIAWEIR_TEST_CAPACITY_FORMULA_H_
#define FUCHSIAWEIR_TEST_CAPACITY_FORMULA_H_

#include <functional>
#include <string>
#include <string_view>

namespace fuchsiaweir::capacity {

/// Returns the value of a variable in a formula; throws if the name is unknown.
using VariableLookup = std::function<double(const std::string& name)>;

/// Evaluates an expression of numbers, variables, + - * /, parentheses, ceil(a), max(a, b) and
/// min(a, b). A variable name consists of letters, digits, "_" and "." and does not start with a
/// digit. Throws std::runtime_error on a syntax error.
double Evaluate(std::string_view formula, const VariableLookup& lookup);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_FORMULA_H_
