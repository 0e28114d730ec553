#include "net/deflate.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr size_t kLimit = 1'000'000;

}  // namespace

TEST_GROUP(Deflate){};

// Guards against a configuration that is altered in transit between processes.
TEST(Deflate, RestoresEveryText) {
  CheckProperty("inflate(deflate(text)) == text", [](const std::string& part, uint16_t repeats) {
    std::string text;
    for (int i = 0; i < repeats % 500; ++i) text += part;
    const std::optional<std::string> restored = Inflate(Deflate(text), kLimit);
    RC_ASSERT(restored.has_value() == (text.size() <= kLimit));
    if (restored) RC_ASSERT(*restored == text);
  });
}

// Guards against a peer that makes a process allocate more than the largest document.
TEST(Deflate, RejectsTextAboveTheLimit) {
  const std::string stream = Deflate(std::string(100'001, 'a'));
  CHECK_FALSE(Inflate(stream, 100'000).has_value());
  CHECK_TRUE(Inflate(stream, 100'001).has_value());
}

// Guards against texts that are cut where they outgrow the first buffer.
TEST(Deflate, RestoresTextsOfAnyRatio) {
  for (const DeflateEffort effort : {DeflateEffort::kSize, DeflateEffort::kSpeed}) {
    for (const size_t size : {0, 1, 1'023, 1'024, 1'025, 100'000, 1'000'000}) {
      const std::string text(size, 'a');
      CHECK_TRUE(Inflate(Deflate(text, effort), kLimit) == text);
    }
  }
}

// Guards against a crash or an endless loop on a corrupt or truncated stream.
TEST(Deflate, SurvivesArbitraryBytes) {
  CheckProperty("a cut stream is rejected; arbitrary bytes end", [](const std::string& bytes) {
    (void)Inflate(bytes, kLimit);
    const std::string stream = Deflate(bytes + "end");
    RC_ASSERT(!Inflate(stream.substr(0, stream.size() - 1), kLimit).has_value());
  });
}

}  // namespace fuchsiaweir
