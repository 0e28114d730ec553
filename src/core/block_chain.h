#ifndef FUCHSIAWEIR_CORE_BLOCK_CHAIN_H_
#define FUCHSIAWEIR_CORE_BLOCK_CHAIN_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiaweir {

/// Identifies the KV cache of one block together with all preceding blocks of the prompt.
struct BlockId {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const BlockId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const BlockId& id) {
    return H::combine(std::move(state), id.high, id.low);
  }
};

/// Returns 32 lower-case hex digits.
std::string ToHex(const BlockId& id);

/// Parses the result of `ToHex`. Upper-case digits and other lengths are rejected.
std::optional<BlockId> BlockIdFromHex(std::string_view hex);

/// Scope within which retained KV blocks of equal tokens are shared.
struct BlockScope {
  std::string team;
  std::string model;
  std::string adapter;
  std::string version;  ///< Weight version.
};

/// Returns the id of each complete block of `block_tokens` tokens, in prompt order. Tokens after
/// the last complete block are ignored. Two ids are equal only when the scope, the block size and
/// all tokens to the end of the block are equal. Returns no ids when `block_tokens` < 1.
std::vector<BlockId> BlockChain(const BlockScope& scope, const std::vector<std::string>& tokens,
                                int64_t block_tokens);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BLOCK_CHAIN_H_
