#include "capacity/formula.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstdlib>
#include <stdexcept>

namespace fuchsiaweir::capacity {
namespace {

class Parser {
 public:
  Parser(std::string_view text, const VariableLookup& lookup) : text_(text), lookup_(lookup) {}

  double ParseFormula() {
    const double value = ParseSum();
    if (PeekNonSpace() != '\0') Fail();
    return value;
  }

 private:
  [[noreturn]] void Fail() const {
    throw std::runtime_error("cannot parse the formula \"" + std::string(text_) + "\" at byte " +
                             std::to_string(position_));
  }

  char PeekNonSpace() {
    while (position_ < text_.size() && text_[position_] == ' ') ++position_;
    return position_ < text_.size() ? text_[position_] : '\0';
  }

  bool Consume(char symbol) {
    if (PeekNonSpace() != symbol) return false;
    ++position_;
    return true;
  }

  double ParseSum() {
    double value = ParseProduct();
    while (true) {
      if (Consume('+')) {
        value += ParseProduct();
      } else if (Consume('-')) {
        value -= ParseProduct();
      } else {
        return value;
      }
    }
  }

  double ParseProduct() {
    double value = ParsePrimary();
    while (true) {
      if (Consume('*')) {
        value *= ParsePrimary();
      } else if (Consume('/')) {
        value /= ParsePrimary();
      } else {
        return value;
      }
    }
  }

  double ParsePrimary() {
    if (Consume('(')) {
      const double value = ParseSum();
      if (!Consume(')')) Fail();
      return value;
    }
    const std::string token = ParseToken();
    if (std::isdigit(static_cast<unsigned char>(token[0])) != 0) return std::stod(token);
    return Consume('(') ? ParseCall(token) : lookup_(token);
  }

  double ParseCall(const std::string& function) {
    const double first = ParseSum();
    double value = std::ceil(first);
    if (function == "max" || function == "min") {
      if (!Consume(',')) Fail();
      const double second = ParseSum();
      value = function == "max" ? std::max(first, second) : std::min(first, second);
    } else if (function != "ceil") {
      Fail();
    }
    if (!Consume(')')) Fail();
    return value;
  }

  std::string ParseToken() {
    PeekNonSpace();
    const size_t begin = position_;
    const auto is_name_char = [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.';
    };
    while (position_ < text_.size() && is_name_char(text_[position_])) ++position_;
    if (position_ == begin) Fail();
    return std::string(text_.substr(begin, position_ - begin));
  }

  std::string_view text_;
  const VariableLookup& lookup_;
  size_t position_ = 0;
};

}  // namespace

double Evaluate(std::string_view formula, const VariableLookup& lookup) {
  return Parser(formula, lookup).ParseFormula();
}

}  // namespace fuchsiaweir::capacity
