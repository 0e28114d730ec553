#include "net/host_list.h"

#include <boost/json.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

Error Unavailable(std::string reason) {
  return {ErrorCode::kPlatformUnavailable, RunState::kNotRun, std::move(reason), Duration{0}};
}

Result<std::vector<ListedHost>> Decode(const std::string& body) {
  try {
    std::vector<ListedHost> hosts;
    const json::value document = json::parse(body);
    for (const json::value& item : document.at("hosts").as_array()) {
      ListedHost host;
      host.name = std::string(item.at("name").as_string());
      host.data_centre = std::string(item.at("data_centre").as_string());
      host.leaving = item.at("state").as_string() == "leaving";
      hosts.push_back(std::move(host));
    }
    return hosts;
  } catch (const std::exception& e) {
    return Unavailable(std::string("malformed host list: ") + e.what());
  }
}

}  // namespace

HttpHostList::HttpHostList(HttpClient& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

Awaitable<Result<std::vector<ListedHost>>> HttpHostList::Read(Duration timeout) {
  HttpRequest request;
  request.target = "/hosts";
  CallOptions options;
  options.timeout = timeout;
  const HttpResult result = co_await client_.Call(endpoint_, std::move(request), options);
  if (!result.ok()) co_return Unavailable("host list: " + result.failure);
  co_return Decode(result.response->body);
}

}  // namespace fuchsiaweir
