#ifndef FUCHSIAWEIR_NET_HTTP_TYPES_H_
#define FUCHSIAWEIR_NET_HTTP_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiaweir {

/// Header fields in order of appearance.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name (case-insensitive), or "".
std::string HeaderValue(const HttpHeaders& headers, std::string_view name);

/// IP address and TCP port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "ADDRESS:PORT". Malformed text gives port 0.
Endpoint ParseEndpoint(std::string_view text);

/// Returns "ADDRESS:PORT".
std::string ToString(const Endpoint& endpoint);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path with query.
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Path and decoded query parameters of a request target.
struct HttpTarget {
  std::string path;  ///< Decoded.
  /// The path with only the escapes of unreserved bytes decoded. An escaped separator is data
  /// within a segment (RFC 3986, 2.2), so it must not choose another route.
  std::string routed_path;
  std::vector<std::pair<std::string, std::string>> query;

  /// Returns the parameter's value, or `fallback` when it is absent.
  std::string Query(std::string_view name, std::string fallback = "") const;
  /// Returns the parameter as an integer, or `fallback` when it is absent or malformed.
  int64_t QueryInteger(std::string_view name, int64_t fallback) const;
};

HttpTarget ParseTarget(std::string_view target);

/// Percent-encodes every byte that RFC 3986 does not list as unreserved.
std::string PercentEncode(std::string_view text);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HTTP_TYPES_H_
