#include "core/source_choice.h"

#include <CppUTest/TestHarness.h>

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kReadTime = Millis(100);

}  // namespace

TEST_GROUP(SourceChoice) {
  SourceChoice choice;
  TimePoint now = kStart;

  /// Reads from the next source. Returns whether it was the expected one.
  bool ReadsFrom(ReadSource expected, bool current, bool store_rejects = false) {
    const ReadSource source = choice.Next(/*has_relay=*/true, store_rejects, now);
    now += kReadTime;
    choice.OnRead(source, current, now);
    return source == expected;
  }
};

// Guards against a change that waits for a relay which has lost the store: the next read must go to
// the store, and so must those after it, since the relay may now read from this process.
TEST(SourceChoice, ARelayThatIsNotCurrentIsPassedOver) {
  CHECK(ReadsFrom(ReadSource::kPreferredRelay, true));
  CHECK(ReadsFrom(ReadSource::kPreferredRelay, false));
  for (int i = 0; i < 20; ++i) CHECK(ReadsFrom(ReadSource::kStore, true));
  now += Seconds(3);
  CHECK(ReadsFrom(ReadSource::kPreferredRelay, true));
  CHECK(ReadsFrom(ReadSource::kPreferredRelay, true));
}

// Guards against gateways that lost the store and its relay, and ask neither others nor the store.
TEST(SourceChoice, ReadsThatFailTryOtherGatewaysAndTheStore) {
  CHECK(ReadsFrom(ReadSource::kPreferredRelay, false));
  CHECK(ReadsFrom(ReadSource::kStore, false));
  CHECK(ReadsFrom(ReadSource::kOtherGateway, false));
  CHECK(ReadsFrom(ReadSource::kStore, false));
  CHECK(ReadsFrom(ReadSource::kOtherGateway, false));
  CHECK(ReadsFrom(ReadSource::kOtherGateway, true));
  CHECK(ReadsFrom(ReadSource::kStore, true));
}

// Guards against calls to a store that rejects this process while other gateways know the state.
TEST(SourceChoice, AStoreThatRejectsIsNotCalled) {
  CHECK(ReadsFrom(ReadSource::kPreferredRelay, false, true));
  for (int i = 0; i < 10; ++i) CHECK(ReadsFrom(ReadSource::kOtherGateway, i % 2 == 0, true));
}

}  // namespace fuchsiaweir
