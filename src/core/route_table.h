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

/// How often a request of a route may be run, and the form of its response.
enum class RouteKind {
  kSafe,    ///< May run more than once.
  kUnsafe,  ///< May run at most once for each attempt of the caller.
  kStream,  ///< Responds with events; retried as kUnsafe unless the route is resumable.
};

/// Returns the kind's name in logs and metrics.
std::string_view Name(RouteKind kind);

/// One of the services that share a route's requests, in proportion to their weights.
struct RouteTarget {
  std::string service;
  int64_t weight = 1;
};

/// A rule that sends requests of one host and path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Starts and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<RouteTarget> targets;
  Duration timeout{0};     ///< Maximum duration of a request; 0: no limit for the route.
  Duration objective{0};   ///< Latency objective for the response or the first event of a stream.
  int64_t attempts = 1;    ///< Maximum number of runners that a request is sent to.
  int64_t priority = 0;    ///< 0 is the highest.
  bool anonymous = false;  ///< Requests need no API key.
  bool sticky = false;     ///< Prefer runners that have the start of the prompt in their KV cache.
  bool resumable = false;  ///< An interrupted stream may be continued on another runner.
  std::vector<std::string> home_regions;  ///< Regions allowed to run requests; empty: all.

  /// Whether a request that may already have run can be retried.
  bool Repeatable() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// A store for KV cache whose contents the system manages itself.
struct StoreSpec {
  std::string address;
  uint16_t port = 0;
  std::string data_centre;
  int64_t capacity_tokens = 0;
  int64_t max_watchers = 0;     ///< Maximum number of concurrent watch calls for its contents.
  double bytes_per_second = 0;  ///< Bandwidth of its link; 0 if unknown.
};

/// A service provided by runners, or a KV cache store.
struct ServiceSpec {
  std::string name;
  Duration cold_time{0};  ///< Time after its start during which a runner counts as cold.
  double cold_requests_per_second = 0;  ///< Limit for each cold runner; 0: no limit.
  int64_t cache_bytes_per_token = 0;    ///< KV cache size of one token; 0 for plain services.
  std::optional<StoreSpec> store;
};

struct TeamSpec {
  std::string name;
  std::optional<int64_t> priority;        ///< Overrides the priority of the route.
  bool isolated = false;                  ///< Shares no KV cache with other teams.
  std::vector<std::string> home_regions;  ///< Regions allowed to run its requests; empty: all.
};

/// Size limits and timeouts for callers' requests.
struct CallerLimits {
  int64_t header_bytes = 16'384;
  int64_t body_bytes = 4'194'304;
  Duration header_timeout = Seconds(3);  ///< Time limit of header and body from the first byte on.
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

/// Returns the route for the host with the longest matching path prefix, or null. The port and the
/// case of the host are ignored.
const Route* FindRoute(const RouteTable& table, std::string_view host, std::string_view path);

/// Returns the team that owns the API key, or null.
const TeamSpec* FindTeam(const RouteTable& table, std::string_view key);

/// Selects one of the route's services in proportion to their weights, from a `fraction` in [0, 1)
/// that should be uniformly distributed over requests.
const std::string& ChooseService(const Route& route, double fraction);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROUTE_TABLE_H_
