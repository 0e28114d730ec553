// Tests of what is known of the software version that began a stream.

#include <CppUTest/TestHarness.h>

#include "core/listed_versions.h"
#include "core/origin_inference.h"
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

// Guards against an inferred version that is told to others, or kept, as a known one.
TEST(StreamOriginTable, AnInferredVersionIsNotKnown) {
  const uint64_t key = StreamOriginTable::Key("llm", "attempt");
  table_.RecordInferred(key, "v1", kStart);
  CHECK_FALSE(table_.Find(key).has_value());
  CHECK(table_.BegunHere("llm").empty());
  STRCMP_EQUAL("v1", table_.FindInferred(key)->c_str());
  table_.Record(key, "v2", kStart + kStep);
  STRCMP_EQUAL("v2", table_.Find(key)->c_str());
  CHECK_FALSE(table_.FindInferred(key).has_value());
  table_.RecordInferred(key, "v1", kStart + kStep);
  STRCMP_EQUAL("v2", table_.Find(key)->c_str());
  table_.Expire(kStart + kStep * 2);
  LONGS_EQUAL(0, table_.size());
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

TEST_GROUP(OriginInference) {
  static constexpr Duration kLimit = Seconds(2);
  static constexpr Duration kLongest = Millis(300);  ///< For answers of holders.
  const SeenVersions v1_{{"v1"}, Seconds(60)};

  /// What a gateway knows whose list was current `list_age` before the stream was resumed.
  OriginEvidence Evidence(size_t asked, size_t answered, Duration list_age) const {
    OriginEvidence evidence;
    evidence.seen = std::vector<SeenVersions>(answered + 1, v1_);
    evidence.holders_asked = asked;
    evidence.holders_answered = answered;
    evidence.resumed_at = kStart;
    evidence.list_as_of = kStart - list_age;
    return evidence;
  }

  static OriginDecision Infer(const OriginEvidence& evidence, Duration waited) {
    return InferOrigin(evidence, kLifetime, waited, kLimit);
  }

  static void CheckUnknown(const OriginDecision& decision) {
    CHECK(decision.done);
    CHECK_FALSE(decision.version.has_value());
  }
};

// Guards against the version of a list that is older than the stream and that not all holders
// confirm.
TEST(OriginInference, AListFromBeforeTheResumptionIsNotUsed) {
  OriginEvidence old = Evidence(4, 3, Micros(1));
  old.holders_failed = 1;
  CHECK_FALSE(Infer(old, kLimit - Micros(1)).done);
  CheckUnknown(Infer(old, kLimit));
  OriginEvidence unread = old;
  unread.list_as_of.reset();
  CheckUnknown(Infer(unread, kLimit));
  STRCMP_EQUAL("v1", Infer(Evidence(4, 4, Duration{0}), Duration{0}).version->c_str());
}

// Guards against resumptions that are refused while the store is away, although every holder
// answers and no second version has been seen.
TEST(OriginInference, AllHoldersTogetherReplaceACurrentList) {
  STRCMP_EQUAL("v1", Infer(Evidence(4, 4, Seconds(10)), Duration{0}).version->c_str());
  STRCMP_EQUAL("v1", Infer(Evidence(2, 2, Seconds(10)), Duration{0}).version->c_str());
  CHECK_FALSE(Infer(Evidence(1, 1, Seconds(10)), Duration{0}).done);
}

// Guards against holders without an answer that count as confirming the list, and against a search
// that waits for the last of them or fails because of one.
TEST(OriginInference, HalfOfTheHoldersHaveToAnswer) {
  const OriginEvidence one = Evidence(4, 1, Duration{0});
  CHECK_FALSE(Infer(one, kLongest - Micros(1)).done);
  CheckUnknown(Infer(one, kLongest));
  OriginEvidence failed = one;
  failed.holders_failed = 3;
  CheckUnknown(Infer(failed, Duration{0}));
  const OriginEvidence two = Evidence(4, 2, Duration{0});
  CHECK_FALSE(Infer(two, Millis(99)).done);
  STRCMP_EQUAL("v1", Infer(two, Millis(100)).version->c_str());
}

// Guards against resumptions that are refused because the only holder has ended and still counts as
// alive, or because there is none.
TEST(OriginInference, ACurrentListSufficesWithoutHolders) {
  STRCMP_EQUAL("v1", Infer(Evidence(1, 0, Duration{0}), kLongest).version->c_str());
  STRCMP_EQUAL("v1", Infer(Evidence(0, 0, Duration{0}), Duration{0}).version->c_str());
}

// Guards against a version that a holder has not seen, or a wait for a list that decides nothing.
TEST(OriginInference, AHolderThatHasSeenAnotherVersionRefutesTheList) {
  OriginEvidence evidence = Evidence(4, 4, Seconds(1));
  evidence.seen.front().versions.insert("v2");
  CheckUnknown(Infer(evidence, Duration{0}));
}

// Guards against a stream that was resumed once and is refused when it is cut again, because a new
// version has joined.
TEST(OriginInference, AnEarlierInferenceStaysValid) {
  OriginEvidence evidence = Evidence(4, 4, Seconds(1));
  evidence.seen.front().versions.insert("v2");
  evidence.inferred = "v1";
  STRCMP_EQUAL("v1", Infer(evidence, Duration{0}).version->c_str());
}

}  // namespace fuchsiaweir
