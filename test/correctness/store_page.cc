#include "platform/store_page.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <optional>
#include <string>

namespace fuchsiaweir::testing {
namespace {

using platform::StorePage;

constexpr size_t kStateBytes = 200'000;

std::string Event(const std::string& name, int revision, bool removed, size_t bytes) {
  return absl::StrCat(R"({"removed":)", removed ? "true" : "false",
                      R"(,"object":{"meta":{"name":")", name, R"(","rev":)", revision,
                      R"(},"spec":{"text":")", std::string(bytes, 'x'), R"("}}})");
}

}  // namespace

TEST_GROUP(StorePages){};

// Guards against a process that runs out of memory when a watch returns at once the many desired
// states that it missed.
TEST(StorePages, ALargeWatchReturnsTheNewestContentOfEachObject) {
  std::string body = R"({"events":[)";
  for (int revision = 1; revision <= 20; ++revision) {
    absl::StrAppend(&body, Event("main", revision, false, kStateBytes), ",");
  }
  absl::StrAppend(&body, Event("gone", 21, false, 1), ",", Event("gone", 22, true, 1),
                  R"(],"current_rev":22})");
  const std::optional<StorePage> page = platform::DecodeStorePage(body);
  CHECK(page.has_value());
  LONGS_EQUAL(22, page->revision);
  LONGS_EQUAL(2, page->objects.size());
  STRCMP_EQUAL("main", page->objects[0].name.c_str());
  LONGS_EQUAL(20, page->objects[0].revision);
  STRCMP_EQUAL("gone", page->objects[1].name.c_str());
  CHECK(page->objects[1].removed);
}

}  // namespace fuchsiaweir::testing
