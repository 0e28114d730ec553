#include <CppUTest/TestHarness.h>

#include "core/route_table.h"
#include "net/http_types.h"

namespace fuchsiaweir {

TEST_GROUP(HttpTarget){};

// Guards against an unsafe request that gets the kind of a safe route, and so runs twice: an
// escaped slash is no separator, and only the prefix of the unsafe route begins the path.
TEST(HttpTarget, AnEscapedSlashChoosesNoOtherRoute) {
  RouteTable table;
  for (const char* prefix : {"/rides/", "/rides/list/"}) {
    Route route;
    route.host = "house.example";
    route.path_prefix = prefix;
    table.routes.push_back(route);
  }
  const auto routed = [&](const char* target) {
    const Route* const route = FindRoute(table, "house.example", ParseTarget(target).routed_path);
    return route == nullptr ? "" : route->path_prefix.c_str();
  };
  STRCMP_EQUAL("/rides/", routed("/rides/list%2Fhall-1"));
  STRCMP_EQUAL("/rides/", routed("/rides/list%2fhall-1?page=2"));
  STRCMP_EQUAL("/rides/list/", routed("/rides/list/hall-1"));
  STRCMP_EQUAL("/rides/list/", routed("/rides/%6Cist/hall-1"));
  STRCMP_EQUAL("", routed("%2Frides/hall-1"));
}

// Guards against names in paths of the own interface that stay encoded.
TEST(HttpTarget, ThePathIsDecodedWhole) {
  STRCMP_EQUAL("/hosts/a/b c", ParseTarget("/hosts/a%2Fb%20c").path.c_str());
  STRCMP_EQUAL("/hosts/%zz", ParseTarget("/hosts/%zz").path.c_str());
}

}  // namespace fuchsiaweir
