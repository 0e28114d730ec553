#include "core/block_chain.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "core/tokenizer.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

std::vector<std::string> ArbitraryTokens() {
  return *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::element('a', 'b', '\0')));
}

}  // namespace

TEST_GROUP(BlockChain){};

// Guards against a tokenizer that drops or changes text.
TEST(BlockChain, ConcatenatedTokensEqualTheText) {
  CheckProperty("the concatenated tokens are the text", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::element(' ', '\n', 'a', '\xef'));
    std::string joined;
    for (const std::string& token : FindTokenizer("whitespace")(text)) joined += token;
    RC_ASSERT(joined == text);
  });
  POINTERS_EQUAL(nullptr, FindTokenizer("unknown"));
}

// Guards against using a block of another team, model, adapter or version (invariants 2 and 3).
// Characters move between fields, which an encoding without lengths would not distinguish.
TEST(BlockChain, ScopesShareNoBlock) {
  CheckProperty("chains of different scopes are disjoint", [] {
    const auto field = [] { return *rc::gen::container<std::string>(rc::gen::element('a', 'b')); };
    BlockScope one{field(), field(), field(), field()};
    BlockScope other = one;
    std::string BlockScope::*const fields[] = {&BlockScope::team, &BlockScope::model,
                                               &BlockScope::adapter, &BlockScope::version};
    const int from = *rc::gen::inRange(0, 4);
    const int to = (from + *rc::gen::inRange(1, 4)) % 4;
    one.*fields[from] += 'a';
    other.*fields[from] += 'a';
    std::string& source = other.*fields[from];
    if (from < to) {
      other.*fields[to] = source.back() + other.*fields[to];
      source.pop_back();
    } else {
      other.*fields[to] += source.front();
      source.erase(0, 1);
    }
    const std::vector<std::string> tokens(4, "x");
    std::set<BlockId> ids;
    for (const BlockId& id : BlockChain(one, tokens, 2)) ids.insert(id);
    for (const BlockId& id : BlockChain(other, tokens, 2)) ids.insert(id);
    const bool same = one.team == other.team && one.model == other.model &&
                      one.adapter == other.adapter && one.version == other.version;
    RC_ASSERT(ids.size() == (same ? 2U : 4U));
  });
}

// Guards against a scope field that does not contribute to the id.
TEST(BlockChain, EachScopeFieldChangesTheIds) {
  const BlockScope scope{"team", "model", "adapter", "version"};
  std::set<BlockId> ids{BlockChain(scope, {"x"}, 1).front()};
  for (std::string BlockScope::*const field :
       {&BlockScope::team, &BlockScope::model, &BlockScope::adapter, &BlockScope::version}) {
    BlockScope other = scope;
    (other.*field) += "2";
    ids.insert(BlockChain(other, {"x"}, 1).front());
  }
  LONGS_EQUAL(5, ids.size());
}

// Guards against ids that ignore a token, a token boundary or an earlier block.
TEST(BlockChain, IdsAgreeExactlyOnTheCommonPrefix) {
  CheckProperty("ids are equal exactly while all tokens so far are equal", [] {
    const auto one = ArbitraryTokens();
    auto other = ArbitraryTokens();
    const size_t keep = *rc::gen::inRange<size_t>(0, one.size() + 1);
    other.insert(other.begin(), one.begin(), one.begin() + static_cast<std::ptrdiff_t>(keep));
    const int64_t block = *rc::gen::inRange(1, 4);
    const auto a = BlockChain({"t", "m", "", "v"}, one, block);
    const auto b = BlockChain({"t", "m", "", "v"}, other, block);
    RC_ASSERT(a.size() == one.size() / static_cast<size_t>(block));
    for (size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
      const auto end = static_cast<std::ptrdiff_t>(i + 1) * block;
      RC_ASSERT((a[i] == b[i]) == std::equal(one.begin(), one.begin() + end, other.begin()));
      RC_ASSERT(BlockIdFromHex(ToHex(a[i])) == a[i]);
    }
  });
  CHECK(!BlockIdFromHex("0123").has_value());
  CHECK(!BlockIdFromHex(std::string(32, 'G')).has_value());
}

}  // namespace fuchsiaweir
