#include "core/content_patch.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

json::value Element(int number) { return json::object{{"name", number}, {"timeout_ms", 100}}; }

json::array Elements(const std::vector<int>& numbers) {
  json::array elements;
  for (const int number : numbers) elements.push_back(Element(number));
  return elements;
}

/// A content with some members, of which two are arrays.
json::value AnyContent() {
  const auto numbers = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  json::object content{{"routes", Elements(*numbers)}};
  if (*rc::gen::inRange(0, 2) == 1) content["tenants"] = Elements(*numbers);
  if (*rc::gen::inRange(0, 2) == 1) content["version"] = *rc::gen::inRange(0, 4);
  if (*rc::gen::inRange(0, 4) == 0) content["routes"] = nullptr;
  return content;
}

json::value LargeContent(int version, int changed_route) {
  json::object content{{"version", version}, {"routes", json::array{}}};
  for (int i = 0; i < 1'400; ++i) content["routes"].as_array().push_back(Element(i));
  content["routes"].as_array()[static_cast<size_t>(changed_route)].as_object()["timeout_ms"] =
      version;
  return content;
}

}  // namespace

TEST_GROUP(ContentPatches){};

// Guards against a patched content that differs from the one that was written.
TEST(ContentPatches, APatchLeadsToTheWrittenContent) {
  CheckProperty("a patched content equals the target", [] {
    const json::value base = AnyContent();
    const json::value target = AnyContent();
    const auto patched = PatchContent(base, DiffContent(base, target));
    RC_ASSERT(patched.has_value());
    RC_ASSERT(*patched == target);
    RC_ASSERT(ContentDigest(*patched) == ContentDigest(target));
  });
}

// Guards against patches as large as the content, wherever elements are added, changed or removed.
TEST(ContentPatches, AChangedElementCostsItsOwnSize) {
  const json::value base = LargeContent(1, 700);
  json::value target = LargeContent(2, 3);
  json::array& routes = target.at("routes").as_array();
  routes.insert(routes.begin() + 20, Element(2'000));
  routes.erase(routes.begin() + 1'200);
  CHECK(json::serialize(DiffContent(base, target)).size() < 1'000);
  CHECK(*PatchContent(base, DiffContent(base, target)) == target);
}

// Guards against a malformed patch that ends the process, or reads beyond the elements.
TEST(ContentPatches, MalformedPatchesAreRejected) {
  const json::value base = json::object{{"routes", Elements({1, 2})}, {"version", 1}};
  for (const char* patch :
       {"1", "{}", R"({"members": []})", R"({"members": {"routes": 1}})",
        R"({"members": {"routes": {"runs": [[]]}}})", R"({"members": {"routes": {"runs": [1]}}})",
        R"({"members": {"routes": {"runs": [[0, 3]]}}})",
        R"({"members": {"routes": {"runs": [[3, 1]]}}})",
        R"({"members": {"routes": {"runs": [[0, -1]]}}})",
        R"({"members": {"routes": {"runs": [[0.5, 1]]}}})",
        R"({"members": {"version": {"runs": [[0, 1]]}}})",
        R"({"members": {"other": {"runs": [[0, 1]]}}})", R"({"members": {}, "removed": 1})"}) {
    CHECK_TEXT(!PatchContent(base, json::parse(patch)), patch);
  }
}

// Guards against a reader that applies changes to a content that they do not belong to, also when
// its own content changed while it waited for them.
TEST(ContentPatches, OnlyTheMissingStepsAreApplied) {
  PatchHistory history;
  std::vector<json::value> contents;
  for (int version = 1; version <= 4; ++version) {
    contents.push_back(LargeContent(version, version));
    history.Record(version == 1 ? json::value() : contents[contents.size() - 2], contents.back());
  }
  const std::string first = ContentDigest(contents[0]);
  const auto patches = history.Since({"unknown", first});
  CHECK(patches.has_value());
  LONGS_EQUAL(3, patches->steps.size());
  for (const json::value& known : contents) {
    const auto content = ApplyPatches(known, ContentDigest(known), *patches);
    CHECK(content.has_value() && *content == contents.back());
  }
  const json::value other = LargeContent(9, 9);
  CHECK_FALSE(ApplyPatches(other, ContentDigest(other), *patches).has_value());
  // The known content is not the one that its digest tells.
  CHECK_FALSE(ApplyPatches(other, first, *patches).has_value());
  CHECK_FALSE(history.Since({"unknown"}).has_value());
  CHECK_FALSE(history.Since({}).has_value());
}

// Guards against a reader that passes on patches which lead to another content than its own.
TEST(ContentPatches, ReceivedPatchesArePassedOnWhereTheyFit) {
  const json::value first = LargeContent(1, 1);
  const json::value second = LargeContent(2, 2);
  const json::value third = LargeContent(3, 3);
  PatchHistory source;
  source.Record(nullptr, first);
  source.Record(first, second);
  for (const json::value& recorded : {second, third}) {
    PatchHistory reader;
    reader.Record(nullptr, first);
    reader.KeepReceived(*source.Since({ContentDigest(first)}));
    reader.Record(first, recorded);
    const auto patches = reader.Since({ContentDigest(first)});
    const auto content = ApplyPatches(first, ContentDigest(first), *patches);
    CHECK(content.has_value() && *content == recorded);
  }
}

// Guards against patches that take more memory, and more of a link, the longer a process runs.
TEST(ContentPatches, KeptPatchesAreBounded) {
  PatchHistory history;
  json::value replaced;
  const json::value begin = json::object{{"text", "begin"}};
  history.Record(replaced, begin);
  replaced = begin;
  for (int version = 0; version < 100; ++version) {
    const json::value content =
        json::object{{"text", std::to_string(version) + std::string(5'000, 'x')}};
    history.Record(replaced, content);
    replaced = content;
  }
  CHECK_FALSE(history.Since({ContentDigest(begin)}).has_value());
  const json::value large = json::object{{"text", std::string(100'000, 'x')}};
  history.Record(replaced, large);
  CHECK_FALSE(history.Since({ContentDigest(replaced)}).has_value());
  CHECK(history.Since({ContentDigest(large)})->steps.empty());
}

}  // namespace fuchsiaweir
