// Tests of the decoders with entries and messages that other writers or faulty processes leave.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <limits>
#include <string>
#include <vector>

#include "gateway/object_log.h"
#include "platform/decode.h"
#include "platform/store_page.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr int kManyBrackets = 1'000'000;
constexpr char kRunner[] =
    R"({"service":"llm","addr":"10.0.0.1:8080","zone":"east","version":"v1","slots":8,)"
    R"("state":"ready","cold_left_ms":0,"seq":4,"born":1764900000000,)"
    R"("models":[{"name":"m","version":3,"adapters":[]}]})";

std::string Object(const std::string& name, const std::string& spec) {
  return absl::StrCat(R"({"meta":{"name":")", name, R"(","rev":7,"finalizers":[]},"spec":)", spec,
                      R"(,"status":null})");
}

std::string Listing(const std::vector<std::string>& objects) {
  std::string text = R"({"items":[)";
  for (const std::string& object : objects) {
    absl::StrAppend(&text, text.back() == '[' ? "" : ",", object);
  }
  return text + R"(],"more":false,"current_rev":530})";
}

std::string Watch(const std::vector<std::string>& objects) {
  std::string text = R"({"events":[)";
  for (const std::string& object : objects) {
    absl::StrAppend(&text, text.back() == '[' ? "" : ",", R"({"removed":false,"object":)", object,
                    "}");
  }
  return text + R"(],"current_rev":530})";
}

/// Contents that a parser of JSON refuses.
std::vector<std::string> UnparsableContents() {
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  return {deep,
          std::string(kManyBrackets, '[') + std::string(kManyBrackets, ']'),
          R"({"slots":1e99999999999})",
          R"({"zone":"\ud800"})",
          "{\"zone\":\"\xff\xfe\"}",
          std::string("{\"zone\":\"a\0b\"}", 14),
          absl::StrCat(R"({"zone":")", std::string(8'000'000, 'x'), R"("})")};
}

json::value ReplaceField(const std::string& field, const std::string& value) {
  json::object spec = json::parse(kRunner).as_object();
  spec[field] = json::parse(value);
  return spec;
}

/// Replaces, removes, inserts or cuts bytes of a message.
std::string Mutate(std::string text) {
  const int changes = *rc::gen::inRange(1, 5);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = *rc::gen::inRange<size_t>(0, text.size());
    const std::vector<std::string> odd{"1e30", "-1",  "1e308", "1e999", "99999999999999999999",
                                       "null", "[[[", "\"",    "\\",    "{}",
                                       "1.5",  "]",   "}",     ":",     std::string(1, '\0')};
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<size_t>(1, 9));
        break;
      case 2:
        text.resize(at);
        break;
      default:
        text.insert(at, odd[*rc::gen::inRange<size_t>(0, odd.size())]);
    }
  }
  return text;
}

}  // namespace

TEST_GROUP(OddInput){};

// Guards against a list or a watch that nobody can read because of one entry in it.
TEST(OddInput, AnUnparsableEntryIsMarkedAlone) {
  for (const std::string& content : UnparsableContents()) {
    const std::vector<std::string> objects{Object("first", kRunner), Object("odd", content),
                                           Object("last", kRunner)};
    for (const std::string& body : {Listing(objects), Watch(objects)}) {
      const auto page = platform::DecodeStorePage(body);
      CHECK(page.has_value());
      LONGS_EQUAL(530, page->revision);
      LONGS_EQUAL(3, page->objects.size());
      for (size_t i = 0; i < 3; ++i) {
        platform::FieldError error;
        const bool usable =
            platform::DecodeRunner("r", page->objects[i].content, error).has_value();
        CHECK_EQUAL(i != 1, usable);
      }
      STRCMP_EQUAL("odd", page->objects[1].name.c_str());
      CHECK_FALSE(page->objects[1].unreadable.empty());
    }
  }
}

// Guards against a list that is taken for an empty one, which removes all runners, because its
// array cannot be split into entries. The last member keeps the body from being parsed whole.
TEST(OddInput, AListThatCannotBeSplitIsNoEmptyList) {
  for (const char* items : {"[{} {}]", "[{}{}]", "{}", "7"}) {
    const std::string page = absl::StrCat(R"({"items":)", items, R"(,"current_rev":530,"x":nul})");
    CHECK_FALSE(platform::DecodeStorePage(page).has_value());
    const std::string relayed = absl::StrCat(
        R"({"all":true,"revision":5,"age_ms":3,"outage":false,"objects":)", items, "}");
    CHECK_FALSE(DecodeObjectChanges(relayed).has_value());
  }
}

// Guards against a relay whose response its readers cannot parse, since it wraps an entry that is
// nested nearly as deep as the parser allows or holds a number without a representation.
TEST(OddInput, RelaysPassOddEntriesOn) {
  for (int depth = 1; depth < 60; ++depth) {
    const std::string content = std::string(static_cast<size_t>(depth), '[') + "1e999" +
                                std::string(static_cast<size_t>(depth), ']');
    const auto page =
        platform::DecodeStorePage(Listing({Object("odd", content), Object("last", kRunner)}));
    CHECK(page.has_value());
    ObjectChanges changes;
    changes.position.revision = page->revision;
    changes.objects = page->objects;
    const auto relayed = DecodeObjectChanges(EncodeObjectChanges(changes));
    CHECK(relayed.has_value());
    LONGS_EQUAL(2, relayed->objects.size());
    platform::FieldError error;
    CHECK(platform::DecodeRunner("last", relayed->objects[1].content, error).has_value());
  }
}

// Guards against a runner that is used although its entry comes from another writer.
TEST(OddInput, EntriesWithOddFieldsNameNoRunner) {
  const std::vector<std::pair<std::string, std::string>> odd{{"slots", "1e30"},
                                                             {"slots", "-1"},
                                                             {"slots", "\"8\""},
                                                             {"slots", "null"},
                                                             {"seq", "1e308"},
                                                             {"seq", "9223372036854775808"},
                                                             {"seq", "[]"},
                                                             {"cold_left_ms", "1e999"},
                                                             {"cold_left_ms", "-5"},
                                                             {"born", "1e20"},
                                                             {"born", "\"soon\""},
                                                             {"addr", "\"10.0.0.1:65536\""},
                                                             {"addr", "\"10.0.0.1:-1\""},
                                                             {"addr", "\"10.0.0.1\""},
                                                             {"addr", "8080"},
                                                             {"state", "\"resting\""},
                                                             {"service", "\"\""},
                                                             {"zone", "{}"}};
  platform::FieldError error;
  CHECK(platform::DecodeRunner("r", json::parse(kRunner), error).has_value());
  for (const auto& [field, value] : odd) {
    const json::value spec = ReplaceField(field, value);
    CHECK_FALSE(platform::DecodeRunner("r", spec, error).has_value());
    STRCMP_EQUAL(field.c_str(), error.field.c_str());
  }
  for (const char* field : {"slots", "seq", "cold_left_ms", "addr", "state", "service", "zone"}) {
    json::object spec = json::parse(kRunner).as_object();
    spec.erase(field);
    CHECK_FALSE(platform::DecodeRunner("r", spec, error).has_value());
    STRCMP_EQUAL(field, error.field.c_str());
    STRCMP_EQUAL("", error.value.c_str());
  }
}

// Guards against a load report that ends the sidecar's task, and the reports with it.
TEST(OddInput, ReportsWithOddRowsAreRead) {
  for (const char* urgency : {"1e30", "1.5", "-1", "1e999", "null", "\"5\"", "[]"}) {
    const auto report = platform::DecodeEngineReport(
        absl::StrCat(R"({"active":3,"queued":1,"kv_used":1e30,"runs":[["id",1,2,)", urgency,
                     R"(],["id",1,2]],"born":1764900000000})"));
    CHECK(report.has_value());
    LONGS_EQUAL(3, report->running);
    LONGS_EQUAL(0, report->memory_used);
    LONGS_EQUAL(1764900000000, report->started_ms);
  }
}

// Guards against token counts whose sum overflows or is negative.
TEST(OddInput, PromptsWithOddCountsHaveNoParts) {
  for (const char* parts : {"a:-1", "a:1,b:9223372036854775807", "a:1e3", "a:2000000000"}) {
    LONGS_EQUAL(0, platform::DecodePromptParts(parts).size());
  }
  LONGS_EQUAL(2, platform::DecodePromptParts("a:1,b:2").size());
  std::string many;
  for (int i = 0; i < 100'000; ++i) many += "a:1,";
  LONGS_EQUAL(0, platform::DecodePromptParts(many).size());
}

// Guards against a desired state or named weights with a version that no later one exceeds.
TEST(OddInput, VersionsOutOfRangeAreRefused) {
  for (const char* version : {"1e30", "-1", "1e999", "18446744073709551615"}) {
    const json::value spec = json::parse(absl::StrCat(R"({"model":"m","version":)", version, "}"));
    CHECK_FALSE(platform::DecodeNamedWeights(spec).has_value());
    CHECK_FALSE(platform::DecodeRouteTable(spec).has_value());
  }
}

// Guards against a message that throws, crashes or exceeds the stack, whatever its bytes are.
TEST(OddInput, MutatedMessagesAreReadOrRefused) {
  CheckProperty("decoders return for any bytes", [] {
    const std::vector<std::string> objects{Object("a", kRunner), Object("b", kRunner)};
    const std::string listing =
        Mutate(*rc::gen::arbitrary<bool>() ? Listing(objects) : Watch(objects));
    if (const auto page = platform::DecodeStorePage(listing)) {
      platform::FieldError error;
      ObjectChanges changes;
      for (const platform::StoredObject& object : page->objects) {
        const auto runner = platform::DecodeRunner(object.name, object.content, error);
        RC_ASSERT(!runner || (runner->slots >= 0 && runner->port > 0 && runner->sequence >= 0));
        platform::DecodeRouteTable(object.content);
        platform::DecodeNamedWeights(object.content);
      }
      changes.objects = page->objects;
      const auto relayed = DecodeObjectChanges(EncodeObjectChanges(changes));
      RC_ASSERT(relayed.has_value());
      RC_ASSERT(relayed->objects.size() == page->objects.size());
    }
    DecodeObjectChanges(Mutate(R"({"all":true,"revision":5,"age_ms":3,"outage":false,"objects":)"
                               R"([{"name":"a","revision":5,"removed":false,"content":{}}]})"));
    platform::DecodeEngineReport(Mutate(
        R"({"active":3,"queued":1,"kv_used":41000,"kv_total":90000,"runs":[["id",1,2,5]]})"));
    platform::DecodeCacheEvents(
        Mutate(R"({"epoch":7,"next":12,"lost":false,"events":[[1,"+","s","p",800,"m"]]})"));
    const std::string list = Mutate(R"({"epoch":7,"next":12,"held":[["s","p",800,"m"]]})");
    StoreContents contents;
    platform::CacheListDecoder decoder(list);
    while (decoder.Decode(1, contents)) {
    }
    platform::DecodePromptParts(Mutate("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
  });
}

}  // namespace fuchsiaweir
