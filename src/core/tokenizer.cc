#include "core/tokenizer.h"

#include <array>
#include <utility>

namespace fuchsiaweir {
namespace {

// Only ASCII whitespace, which never matches a byte of a multi-byte UTF-8 character.
constexpr std::string_view kWhitespace = " \t\n\r\f\v";

// A token is a word with the whitespace before it, so that text appended after a word does not
// change the earlier tokens of a prompt. Whitespace at the end of the text is a separate token.
std::vector<std::string> SplitAtWhitespace(std::string_view text) {
  std::vector<std::string> tokens;
  while (!text.empty()) {
    const size_t word = text.find_first_not_of(kWhitespace);
    size_t end = std::string_view::npos;
    if (word != std::string_view::npos) end = text.find_first_of(kWhitespace, word);
    if (end == std::string_view::npos) end = text.size();
    tokens.emplace_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return tokens;
}

constexpr std::array<std::pair<std::string_view, Tokenizer>, 1> kTokenizers = {{
    {"whitespace", &SplitAtWhitespace},
}};

}  // namespace

Tokenizer FindTokenizer(std::string_view name) {
  for (const auto& [tokenizer_name, tokenizer] : kTokenizers) {
    if (tokenizer_name == name) return tokenizer;
  }
  return nullptr;
}

}  // namespace fuchsiaweir
