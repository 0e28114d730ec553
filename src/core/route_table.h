#ifndef FUCHSIAWEIR_CORE_ROUTE_TABLE_H_
#define FUCHSIAWEIR_CORE_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// What may be repeated of a request.
enum class RouteKind {
  kSafe,    ///< May run more than once.
  kUnsafe,  ///< May run at most once for each attempt of the caller.
  kStream,  ///< A series of events; as kUnsafe unless the route is resumable.
};

/// Returns the kind's name in logs and metrics.
std::string_view Name(RouteKind kind);

/// One of the services that a route's requests are divided between.
struct RouteTarget {
  std::string service;
  int64_t weight = 1;
};

/// A rule that sends requests of one host and path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<RouteTarget> targets;
  Duration timeout{0};    ///< Longest time that a request is kept waiting.
  Duration objective{0};  ///< Time to the answer, or to the first event of a stream.
  int64_t attempts = 1;   ///< Runners that one request may be sent to at most.
  int64_t priority = 0;   ///< 0 is the highest.
  bool anonymous = false;
  bool sticky = false;     ///< Requests carry prompts whose kept parts are worth meeting again.
  bool resumable = false;  ///< A stream may go on at another runner.
  std::vector<std::string> home_regions;  ///< Empty: no restriction.

  /// Whether a request that may have run can be sent once more.
  bool Repeatable() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// A store of kept KV cache that the system fills and empties itself.
struct StoreSpec {
  std::string address;
  uint16_t port = 0;
  std::string data_centre;
  int64_t capacity_tokens = 0;
  int64_t max_watchers = 0;     ///< Calls for its contents that it holds at once.
  double bytes_per_second = 0;  ///< Of its link; 0 when it is not told.
};

/// A service of runners, or a store.
struct ServiceSpec {
  std::string name;
  Duration cold_time{0};
  double cold_requests_per_second =
      0;                              ///< Requests a second that a cold runner bears; 0: no limit.
  int64_t cache_bytes_per_token = 0;  ///< Of a token's KV cache; 0 for plain services.
  std::optional<StoreSpec> store;
};

struct TeamSpec {
  std::string name;
  std::optional<int64_t> priority;  ///< Replaces the route's.
  bool isolated = false;            ///< Shares no kept cache with other teams.
  std::vector<std::string> home_regions;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  int64_t header_bytes = 16'384;
  int64_t body_bytes = 4'194'304;
  Duration header_timeout = Seconds(3);
  Duration idle_timeout = Seconds(15);
};

/// One version of the desired state.
struct RouteTable {
  int64_t revision = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec> services;
  std::vector<TeamSpec> teams;
  std::map<std::string, size_t, std::less<>> team_by_key;  ///< API key to index in `teams`.
  CallerLimits limits;
};

/// Returns the route of the host whose prefix is the longest that begins the path, or null. The
/// host's port and case are ignored.
const Route* FindRoute(const RouteTable& table, std::string_view host, std::string_view path);

/// Returns the team that holds the key, or null.
const TeamSpec* FindTeam(const RouteTable& table, std::string_view key);

/// Divides requests between the route's targets by weight; `fraction` is in [0, 1).
const std::string& ChooseService(const Route& route, double fraction);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROUTE_TABLE_H_
