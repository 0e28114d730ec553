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
  Parser(std::string_view text, const Lookup& lookup) : text_(text), lookup_(lookup) {}

  double Whole() {
    const double value = Sum();
    if (Next() != '\0') Fail();
    return value;
  }

 private:
  [[noreturn]] void Fail() const {
    throw std::runtime_error("cannot read the formula \"" + std::string(text_) + "\" at byte " +
                             std::to_string(at_));
  }

  char Next() {
    while (at_ < text_.size() && text_[at_] == ' ') ++at_;
    return at_ < text_.size() ? text_[at_] : '\0';
  }

  bool Take(char symbol) {
    if (Next() != symbol) return false;
    ++at_;
    return true;
  }

  double Sum() {
    double value = Product();
    while (true) {
      if (Take('+')) {
        value += Product();
      } else if (Take('-')) {
        value -= Product();
      } else {
        return value;
      }
    }
  }

  double Product() {
    double value = Term();
    while (true) {
      if (Take('*')) {
        value *= Term();
      } else if (Take('/')) {
        value /= Term();
      } else {
        return value;
      }
    }
  }

  double Term() {
    if (Take('(')) {
      const double value = Sum();
      if (!Take(')')) Fail();
      return value;
    }
    const std::string word = Word();
    if (std::isdigit(static_cast<unsigned char>(word[0])) != 0) return std::stod(word);
    return Take('(') ? Call(word) : lookup_(word);
  }

  double Call(const std::string& function) {
    const double first = Sum();
    double value = std::ceil(first);
    if (function == "max" || function == "min") {
      if (!Take(',')) Fail();
      const double second = Sum();
      value = function == "max" ? std::max(first, second) : std::min(first, second);
    } else if (function != "ceil") {
      Fail();
    }
    if (!Take(')')) Fail();
    return value;
  }

  std::string Word() {
    Next();
    const size_t begin = at_;
    const auto belongs = [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.';
    };
    while (at_ < text_.size() && belongs(text_[at_])) ++at_;
    if (at_ == begin) Fail();
    return std::string(text_.substr(begin, at_ - begin));
  }

  std::string_view text_;
  const Lookup& lookup_;
  size_t at_ = 0;
};

}  // namespace

double Evaluate(std::string_view formula, const Lookup& lookup) {
  return Parser(formula, lookup).Whole();
}

}  // namespace fuchsiaweir::capacity
