#include "net/host_list.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <utility>

#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr int kNotModified = 304;

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
    return Unavailable(std::string("malformed host list: ") + DecodeErrorMessage(e));
  }
}

}  // namespace

HttpHostList::HttpHostList(HttpClient& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

Awaitable<Result<std::vector<ListedHost>>> HttpHostList::Read(Duration timeout) {
  HttpRequest request;
  request.target = "/hosts";
  if (!entity_tag_.empty()) request.headers.emplace_back("If-None-Match", entity_tag_);
  CallOptions options;
  options.timeout = timeout;
  const HttpResult result = co_await client_.Call(endpoint_, std::move(request), options);
  if (!result.response) co_return Unavailable("cannot read the host list: " + result.failure);
  if (result.response->status == kNotModified && !entity_tag_.empty()) co_return last_hosts_;
  if (!result.ok()) {
    co_return Unavailable(
        absl::StrCat("cannot read the host list: HTTP status ", result.response->status));
  }
  Result<std::vector<ListedHost>> hosts = Decode(result.response->body);
  if (hosts) {
    entity_tag_ = HeaderValue(result.response->headers, "ETag");
    last_hosts_ = hosts.value();
  }
  co_return hosts;
}

}  // namespace fuchsiaweir
