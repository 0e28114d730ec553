#include "gateway/relay_client.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// The timeout of a call is the time that the relay waits for changes plus this margin.
constexpr Duration kResponseMargin = Millis(500);

/// Above the size of all objects of a kind in a large fleet.
constexpr int64_t kMaxRelayBytes = 8'000'000;

}  // namespace

Awaitable<std::optional<ObjectChanges>> ReadFromRelay(HttpClient& client, Endpoint relay,
                                                      std::string kind, StorePosition since,
                                                      Duration wait) {
  HttpRequest request{"GET",
                      absl::StrCat(kRelayPath, "?kind=", kind, "&history=", since.history,
                                   "&since=", since.revision, "&wait_ms=", ToMillis(wait)),
                      {},
                      ""};
  CallOptions options;
  options.timeout = wait + kResponseMargin;
  options.connect_timeout = kResponseMargin / 2;
  options.max_body_bytes = kMaxRelayBytes;
  const std::string address = ToString(relay);
  const TimePoint start = SteadyNow();
  const HttpResult result = co_await client.Call(std::move(relay), std::move(request), options);
  if (!result.ok()) {
    LogInfo("relay_failed", {{"kind", kind},
                             {"relay", address},
                             {"reason", result.failure},
                             {"reused", result.reused ? "yes" : "no"},
                             {"took_ms", absl::StrCat(ToMillis(SteadyNow() - start))}});
    co_return std::nullopt;
  }
  std::optional<ObjectChanges> changes = DecodeObjectChanges(result.response->body);
  if (!changes) LogWarning("relay_malformed", {{"kind", kind}, {"relay", address}});
  co_return changes;
}

}  // namespace fuchsiaweir
