// Tests of what is known of the software version that began a stream.

#include <CppUTest/TestHarness.h>

#include "core/listed_versions.h"
#include "core/stream_origin_table.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kLifetime = Seconds(30);
constexpr Duration kStep = Seconds(1);

/// Watches a list with these versions of the service "llm" from `from` to `to`.
void Watch(ListedVersions& listed, const std::set<std::string>& versions, TimePoint from,
           TimePoint to) {
  for (TimePoint now = from; now <= to; now += kStep) listed.OnListed({{"llm", versions}}, now);
}

}  // namespace

TEST_GROUP(StreamOriginTable) { StreamOriginTable table_; };

// Guards against a stream that is joined from two versions because another process reports, or the
// attempt that goes on with it records, another one later.
TEST(StreamOriginTable, TheFirstVersionCounts) {
  const uint64_t key = StreamOriginTable::Key("llm", "attempt");
  table_.Record(key, "v1", kStart);
  table_.OnBegun("llm", key, "v2", kStart + kStep);
  STRCMP_EQUAL("v1", table_.Find(key)->c_str());
}

// Guards against a stream that is forgotten while its caller takes it up again and again, and
// against records that stay for ever.
TEST(StreamOriginTable, ARecordIsKeptWhileItIsRenewed) {
  const uint64_t key = StreamOriginTable::Key("llm", "attempt");
  table_.Record(key, "v1", kStart);
  table_.Record(key, "v1", kStart + kLifetime);
  table_.Expire(kStart + kLifetime);
  CHECK(table_.Find(key).has_value());
  table_.Expire(kStart + kLifetime * 2);
  CHECK_FALSE(table_.Find(key).has_value());
  LONGS_EQUAL(0, table_.size());
}

// Guards against the wrong version for equal ids at different services.
TEST(StreamOriginTable, ServicesAreKeptApart) {
  table_.Record(StreamOriginTable::Key("llm", "attempt"), "v1", kStart);
  CHECK_FALSE(table_.Find(StreamOriginTable::Key("tts", "attempt")).has_value());
}

TEST_GROUP(ListedVersions) { ListedVersions listed_; };

// Guards against a version that is taken for the only one because the runners of the other one have
// just left.
TEST(ListedVersions, AVersionCountsForTheLifetimeOfStreams) {
  Watch(listed_, {"v1"}, kStart, kStart + kLifetime);
  TimePoint now = kStart + kLifetime;
  STRCMP_EQUAL("v1", OnlyVersion({listed_.Seen("llm", kLifetime, now)}, kLifetime)->c_str());
  Watch(listed_, {"v2"}, now + kStep, now + kLifetime);
  now += kLifetime;
  CHECK_FALSE(OnlyVersion({listed_.Seen("llm", kLifetime, now)}, kLifetime).has_value());
  Watch(listed_, {"v2"}, now + kStep, now + kStep);
  now += kStep;
  STRCMP_EQUAL("v2", OnlyVersion({listed_.Seen("llm", kLifetime, now)}, kLifetime)->c_str());
}

// Guards against a process that takes the listed version for the only one although it was started,
// stood still or lost the list while another one served.
TEST(ListedVersions, AGapBeginsTheWatchAnew) {
  Watch(listed_, {"v1"}, kStart, kStart + kLifetime);
  const TimePoint back = kStart + kLifetime + Seconds(5);
  CHECK_FALSE(OnlyVersion({listed_.Seen("llm", kLifetime, back)}, kLifetime).has_value());
  Watch(listed_, {"v1"}, back, back + kStep);
  CHECK(listed_.Seen("llm", kLifetime, back + kStep).watched == kStep);
}

// Guards against a restarted process that trusts its own short watch, or a longer one that has not
// seen the newest version.
TEST(ListedVersions, SeveralProcessesKnowTogether) {
  const SeenVersions restarted{{"v2"}, Seconds(2)};
  CHECK_FALSE(OnlyVersion({restarted}, kLifetime).has_value());
  CHECK_FALSE(OnlyVersion({restarted, {{"v1"}, Seconds(60)}}, kLifetime).has_value());
  STRCMP_EQUAL("v2", OnlyVersion({restarted, {{"v2"}, Seconds(60)}}, kLifetime)->c_str());
}

}  // namespace fuchsiaweir
