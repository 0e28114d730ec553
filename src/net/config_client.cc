#include "net/config_client.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

#include "net/deflate.h"

namespace fuchsiaweir {
namespace {

constexpr int kNoContent = 204;

Error FetchError(const Endpoint& peer, const std::string& reason) {
  return {ErrorCode::kTargetFailed, RunState::kNotRun,
          absl::StrCat("cannot fetch the configuration from ", ToString(peer), ": ", reason),
          Duration{0}};
}

}  // namespace

Awaitable<Result<std::optional<ConfigDocument>>> FetchConfig(HttpClient& client, Endpoint peer,
                                                             int64_t after, Duration wait,
                                                             Duration timeout) {
  HttpRequest request;
  request.target = absl::StrCat(kConfigPath, "?after=", after, "&wait_ms=", ToMillis(wait));
  request.headers.emplace_back("Accept-Encoding", kDeflateCoding);
  CallOptions options;
  options.timeout = wait + timeout;
  options.connect_timeout = timeout;
  const HttpResult result = co_await client.Call(peer, std::move(request), options);
  if (!result.response) co_return FetchError(peer, result.failure);
  if (result.response->status == kNoContent) co_return std::optional<ConfigDocument>();
  if (!result.ok()) {
    co_return FetchError(peer, absl::StrCat("HTTP status ", result.response->status));
  }
  const std::optional<std::string> text = DecodedBody(*result.response, kMaxConfigBytes);
  if (!text) co_return FetchError(peer, "malformed deflate stream");
  Result<ConfigDocument> document = DecodeConfigDocument(*text);
  if (!document) co_return FetchError(peer, document.error().message);
  co_return std::optional<ConfigDocument>(std::move(document.value()));
}

}  // namespace fuchsiaweir
