#ifndef FUCHSIAWEIR_CORE_TOKENIZER_H_
#define FUCHSIAWEIR_CORE_TOKENIZER_H_

#include <string>
#include <string_view>
#include <vector>

namespace fuchsiaweir {

/// Splits text into tokens whose concatenation is the text.
using Tokenizer = std::vector<std::string> (*)(std::string_view text);

/// Returns the tokenizer with the name from a model section, or null if the name is unknown.
Tokenizer FindTokenizer(std::string_view name);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_TOKENIZER_H_
