#include "core/route_table.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.targets = {{"service", 1}};
  return route;
}

}  // namespace

TEST_GROUP(RouteTable){};

// Guards against a request that is routed to the service of another host or of a shorter prefix.
TEST(RouteTable, TheLongestPrefixOfTheHostWins) {
  RouteTable table;
  table.routes = {MakeRoute("a.example", "/x/"), MakeRoute("a.example", "/x/y/"),
                  MakeRoute("b.example", "/x/y/z/")};
  STRCMP_EQUAL("a.example/x/y/", FindRoute(table, "A.Example:8080", "/x/y/z/1")->name.c_str());
  STRCMP_EQUAL("a.example/x/", FindRoute(table, "a.example", "/x/yy")->name.c_str());
  POINTERS_EQUAL(nullptr, FindRoute(table, "a.example", "/x"));
  POINTERS_EQUAL(nullptr, FindRoute(table, "c.example", "/x/"));
}

// Guards against a result that depends on the order of the routes.
TEST(RouteTable, TheOrderOfRoutesDoesNotMatter) {
  CheckProperty("a reversed table finds the same route", [] {
    RouteTable table;
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      std::string prefix = "/";
      const int depth = *rc::gen::inRange(0, 4);
      for (int j = 0; j < depth; ++j) prefix += *rc::gen::element<std::string>("a/", "b/", "ab/");
      table.routes.push_back(MakeRoute("h", prefix));
    }
    RouteTable reversed = table;
    std::reverse(reversed.routes.begin(), reversed.routes.end());
    const std::string path = "/a/b/ab/" + *rc::gen::element<std::string>("", "a", "b/a");
    const Route* one = FindRoute(table, "h", path);
    const Route* other = FindRoute(reversed, "h", path);
    RC_ASSERT((one == nullptr) == (other == nullptr));
    if (one != nullptr) RC_ASSERT(one->path_prefix == other->path_prefix);
  });
}

// Guards against a selection that omits a service or ignores the weights.
TEST(RouteTable, RequestsAreDividedByWeight) {
  Route route = MakeRoute("h", "/");
  route.targets = {{"a", 90}, {"b", 10}, {"c", 0}};
  int b = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string& service = ChooseService(route, i / 1000.0);
    CHECK(service != "c");
    b += service == "b" ? 1 : 0;
  }
  LONGS_EQUAL(100, b);
}

// Guards against a key that is accepted although no team owns it.
TEST(RouteTable, OnlyOwnedKeysIdentifyATeam) {
  RouteTable table;
  table.teams = {{"team", std::nullopt, false, {}}};
  table.team_by_key["key"] = 0;
  STRCMP_EQUAL("team", FindTeam(table, "key")->name.c_str());
  POINTERS_EQUAL(nullptr, FindTeam(table, "kez"));
  POINTERS_EQUAL(nullptr, FindTeam(table, ""));
}

}  // namespace fuchsiaweir
