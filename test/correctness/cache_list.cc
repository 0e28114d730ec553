#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <string>

#include "platform/decode.h"

namespace fuchsiaweir::testing {

TEST_GROUP(CacheLists){};

// Guards against a list whose parts are lost, or that blocks the process for its whole length:
// 250,000 parts of two stores' size arrive in pieces, and each is found afterwards.
TEST(CacheLists, LongListsAreDecodedInPieces) {
  constexpr int kParts = 250'000;
  constexpr size_t kRowsAtOnce = 2'000;
  std::string rows;
  for (int i = 0; i < kParts; ++i) {
    absl::StrAppend(&rows, i == 0 ? "" : ",", "[\"v1\",\"part-", i, "\",50]");
  }
  const std::string list = absl::StrCat(R"({"epoch": 3, "next": 5, "held": [)", rows, "]}");
  platform::CacheListDecoder decoder(list);
  CHECK(decoder.valid());
  StoreContents contents;
  size_t pieces = 1;
  while (decoder.Decode(kRowsAtOnce, contents)) ++pieces;
  LONGS_EQUAL(kParts / kRowsAtOnce, pieces);
  LONGS_EQUAL(kParts, contents.size());
  LONGS_EQUAL(50 * kParts, contents.tokens());
  LONGS_EQUAL(3, contents.epoch());
  LONGS_EQUAL(5, contents.next());
  LONGS_EQUAL(50, contents.TokensOf("v1", absl::StrCat("part-", kParts - 1)));
  CHECK(contents.memory_bytes() < 25'000'000);
}

// Guards against one malformed row, or a cut list, that hides or empties the parts of a store.
TEST(CacheLists, MalformedRowsAreSkippedAndCutListsAreRefused) {
  const std::string list =
      R"({"epoch":1,"next":2,"held":[["v1","a",10],["v1"],7,["v1","b",-1],["v1","c\u0041",20]]})";
  platform::CacheListDecoder decoder(list);
  CHECK(decoder.valid());
  StoreContents contents;
  while (decoder.Decode(1, contents)) {
  }
  LONGS_EQUAL(2, contents.size());
  LONGS_EQUAL(20, contents.TokensOf("v1", "cA"));
  CHECK_FALSE(platform::CacheListDecoder(list.substr(0, list.size() - 9)).valid());
  CHECK_FALSE(platform::CacheListDecoder(R"({"epoch":1,"held":[]})").valid());
}

}  // namespace fuchsiaweir::testing
