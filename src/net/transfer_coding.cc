#include "net/transfer_coding.h"

#include <absl/strings/match.h>

#include <iterator>
#include <string>

namespace fuchsiaweir {

bool HasKnownTransferCoding(const boost::beast::http::fields& message) {
  const auto codings = message.equal_range(boost::beast::http::field::transfer_encoding);
  for (auto field = codings.first; field != codings.second; ++field) {
    const auto value = field->value();
    if (!absl::EqualsIgnoreCase(std::string(value.data(), value.size()), "chunked")) return false;
  }
  return std::distance(codings.first, codings.second) <= 1;
}

}  // namespace fuchsiaweir
