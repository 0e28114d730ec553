#include "core/block_chain.h"

#include <absl/strings/str_format.h>
#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <memory>

namespace fuchsiaweir {
namespace {

constexpr size_t kDigestBytes = 32;
constexpr size_t kHalfHexDigits = 16;

// Domain separator in the first digest, so that ids of a future encoding differ.
constexpr std::string_view kDomainSeparator = "fuchsiaweir block chain 1";

using Digest = std::array<unsigned char, kDigestBytes>;
using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

void AppendNumber(uint64_t number, std::string& out) {
  for (int shift = 0; shift < 64; shift += 8) out.push_back(static_cast<char>(number >> shift));
}

// The length prefix makes the encoding unambiguous: ("ab", "c") and ("a", "bc") differ.
void AppendField(std::string_view field, std::string& out) {
  AppendNumber(field.size(), out);
  out.append(field);
}

// Aborts on failure, because a zero digest would give different prompts the same id.
Digest Sha256(EVP_MD_CTX* context, const std::string& input) {
  Digest digest{};
  const bool done = EVP_DigestInit_ex(context, EVP_sha256(), nullptr) == 1 &&
                    EVP_DigestUpdate(context, input.data(), input.size()) == 1 &&
                    EVP_DigestFinal_ex(context, digest.data(), nullptr) == 1;
  if (!done) std::abort();
  return digest;
}

uint64_t BigEndian(const unsigned char* bytes) {
  uint64_t number = 0;
  for (size_t i = 0; i < sizeof(number); ++i) number = number << 8 | bytes[i];
  return number;
}

std::string EncodeScope(const BlockScope& scope, int64_t block_tokens) {
  std::string input;
  AppendField(kDomainSeparator, input);
  AppendField(scope.team, input);
  AppendField(scope.model, input);
  AppendField(scope.adapter, input);
  AppendField(scope.version, input);
  AppendNumber(static_cast<uint64_t>(block_tokens), input);
  return input;
}

}  // namespace

std::string ToHex(const BlockId& id) { return absl::StrFormat("%016x%016x", id.high, id.low); }

std::optional<BlockId> BlockIdFromHex(std::string_view hex) {
  if (hex.size() != 2 * kHalfHexDigits) return std::nullopt;
  if (hex.find_first_not_of("0123456789abcdef") != std::string_view::npos) return std::nullopt;
  BlockId id;
  const char* middle = hex.data() + kHalfHexDigits;
  std::from_chars(hex.data(), middle, id.high, 16);
  std::from_chars(middle, middle + kHalfHexDigits, id.low, 16);
  return id;
}

std::vector<BlockId> BlockChain(const BlockScope& scope, const std::vector<std::string>& tokens,
                                int64_t block_tokens) {
  std::vector<BlockId> chain;
  if (block_tokens < 1) return chain;
  const size_t block = static_cast<size_t>(block_tokens);
  const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  if (context == nullptr) std::abort();

  // The chain carries the full 256-bit digest from block to block; only the id is truncated to 128.
  Digest previous = Sha256(context.get(), EncodeScope(scope, block_tokens));
  chain.reserve(tokens.size() / block);
  std::string input;
  for (size_t begin = 0; tokens.size() - begin >= block; begin += block) {
    input.assign(previous.begin(), previous.end());
    for (size_t i = begin; i < begin + block; ++i) AppendField(tokens[i], input);
    previous = Sha256(context.get(), input);
    chain.push_back({BigEndian(previous.data()), BigEndian(previous.data() + 8)});
  }
  return chain;
}

}  // namespace fuchsiaweir
