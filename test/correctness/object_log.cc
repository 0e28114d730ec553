#include "gateway/object_log.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace fuchsiaweir::testing {
namespace {

using platform::StoredObject;

constexpr size_t kStateBytes = 700'000;

StoredObject Object(const std::string& name, int64_t revision, std::string text = "text") {
  return {name, revision, false, boost::json::value(std::move(text))};
}

StoredObject Removed(const std::string& name, int64_t revision) {
  return {name, revision, true, nullptr};
}

/// A position in the history that the tests are about.
StorePosition At(int64_t revision) { return {0, revision}; }

/// Returns "NAME@REVISION", or "-NAME" if it is removed, for each object.
std::string Text(const ObjectChanges& changes) {
  std::string text = changes.full ? "all" : "changes";
  for (const StoredObject& object : changes.objects) {
    text += object.removed ? " -" + object.name
                           : " " + object.name + "@" + std::to_string(object.revision);
  }
  return text;
}

}  // namespace

TEST_GROUP(ObjectLogs) { ObjectLog log; };

// Guards against processes that run out of memory because they keep each desired state that was
// ever in force. Replays a hundred large ones, and reads them as a relay's client does that has
// none of them.
TEST(ObjectLogs, ReplacedContentsAreNotKept) {
  log.Reset({Object("main", 1)}, At(1));
  for (int64_t revision = 2; revision <= 100; ++revision) {
    log.Append({Object("main", revision, std::string(kStateBytes, 'x'))}, revision);
  }
  const ObjectChanges changes = log.ChangesSince(At(1));
  STRCMP_EQUAL("changes main@100", Text(changes).c_str());
  CHECK(EncodeObjectChanges(changes).size() < 2 * kStateBytes);
}

// Guards against a digest of received patches that is kept for a content which has replaced theirs.
TEST(ObjectLogs, AContentHasItsOwnDigest) {
  const auto object = [](int64_t revision, const char* text) {
    return StoredObject{"main", revision, false, boost::json::object{{"text", text}}};
  };
  ObjectLog relay;
  for (ObjectLog* each : {&relay, &log}) {
    each->KeepPatches();
    each->Reset({object(1, "first")}, At(1));
  }
  relay.Append({object(2, "second")}, 2);
  ObjectChanges changes = relay.ChangesSince(At(1), log.Digests());
  CHECK(log.ApplyPatches(changes));
  STRCMP_EQUAL(relay.Digests()[0].c_str(), changes.objects[0].content_digest.c_str());
  changes.objects[0] = object(3, "third");
  const std::string digest = ContentDigest(changes.objects[0].content);
  log.Append(std::move(changes.objects), 3);
  STRCMP_EQUAL(digest.c_str(), log.Digests()[0].c_str());
}

// Guards against a relay's client that misses a change or a removal, or that gets changes in
// another order than they were made.
TEST(ObjectLogs, ChangesAreReturnedInTheirOrder) {
  log.Reset({Object("a", 1), Object("b", 2), Object("c", 3)}, At(5));
  log.Append({Object("a", 6), Removed("b", 7)}, 7);
  log.Append({Object("d", 8), Object("a", 9)}, 9);
  CHECK_FALSE(log.HasChangesSince(At(9)));
  CHECK(log.HasChangesSince(At(7)));
  STRCMP_EQUAL("changes d@8 a@9", Text(log.ChangesSince(At(7))).c_str());
  STRCMP_EQUAL("changes -b d@8 a@9", Text(log.ChangesSince(At(5))).c_str());
  STRCMP_EQUAL("all c@3 d@8 a@9", Text(log.ChangesSince(At(4))).c_str());
  log.Append({Object("b", 10)}, 10);
  STRCMP_EQUAL("changes d@8 a@9 b@10", Text(log.ChangesSince(At(5))).c_str());
}

// Guards against a relay whose memory grows with each object that ever existed, and against clients
// that keep an object because its removal is no longer known.
TEST(ObjectLogs, ManyRemovalsLeadToAListing) {
  log.Reset({Object("kept", 1)}, At(1));
  const std::string name(1'000, 'n');
  for (int64_t revision = 2; revision <= 1'000; ++revision) {
    log.Append({Removed(name + std::to_string(revision), revision)}, revision);
  }
  STRCMP_EQUAL("all kept@1", Text(log.ChangesSince(At(1))).c_str());
  STRCMP_EQUAL("changes", Text(log.ChangesSince(At(1'000))).substr(0, 7).c_str());
  CHECK(log.ChangesSince(At(900)).objects.size() >= 100);
  CHECK_FALSE(log.ChangesSince(At(900)).full);
}

// Guards against an object that a new listing no longer contains but that stays in use.
TEST(ObjectLogs, AListingRemovesWhatItDoesNotContain) {
  log.Reset({Object("a", 1), Object("b", 2)}, At(2));
  log.Append({Removed("a", 3)}, 3);
  const std::vector<StoredObject> changes = log.Reset({Object("c", 4)}, At(5));
  LONGS_EQUAL(2, changes.size());
  STRCMP_EQUAL("c", changes[0].name.c_str());
  STRCMP_EQUAL("b", changes[1].name.c_str());
  CHECK(changes[1].removed);
  STRCMP_EQUAL("all c@4", Text(log.ChangesSince(At(0))).c_str());
}

// Guards against a relay's client that misses the changes of a later history because their
// revisions are below its own.
TEST(ObjectLogs, AClientOfAnotherHistoryGetsEverything) {
  log.Reset({Object("a", 90)}, {1, 100});
  log.Reset({Object("a", 40), Object("b", 41)}, {2, 50});
  log.Append({Object("b", 60)}, 60);
  CHECK(log.HasChangesSince({1, 100}));
  const ObjectChanges changes = log.ChangesSince({1, 100});
  STRCMP_EQUAL("all a@40 b@60", Text(changes).c_str());
  CHECK(changes.position == StorePosition({2, 60}));
  CHECK(log.changed_position() == StorePosition({2, 60}));
  STRCMP_EQUAL("changes b@60", Text(log.ChangesSince({2, 50})).c_str());
}

// Guards against an object of an earlier history that a relay's client takes for one of the present
// history, in which its revision is that of another change.
TEST(ObjectLogs, ObjectsKeepTheirHistoryOnTheirWay) {
  StoredObject kept = Object("kept", 90);
  kept.history = 1;
  StoredObject present = Object("present", 40);
  present.history = 2;
  log.Reset({kept, present}, {2, 50});
  CHECK(log.changed_position() <= log.position());
  const auto decoded = DecodeObjectChanges(EncodeObjectChanges(log.ChangesSince({})));
  CHECK(decoded.has_value());
  CHECK(decoded->position == StorePosition({2, 50}));
  LONGS_EQUAL(1, decoded->objects.at(0).history);
  LONGS_EQUAL(2, decoded->objects.at(1).history);
}

}  // namespace fuchsiaweir::testing
