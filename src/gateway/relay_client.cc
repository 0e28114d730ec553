#include "gateway/relay_client.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <utility>

#include "net/deflate.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// The timeout of a call is the time that the relay waits for changes plus this margin.
constexpr Duration kResponseMargin = Millis(500);

/// Above the size of all objects of a kind in a large fleet.
constexpr size_t kMaxRelayBytes = 8'000'000;

}  // namespace

Awaitable<std::optional<ObjectChanges>> ReadFromRelay(HttpClient& client, Endpoint relay,
                                                      RelayQuery query) {
  std::string target =
      absl::StrCat(kRelayPath, "?kind=", query.kind, "&history=", query.since.history,
                   "&since=", query.since.revision, "&wait_ms=", ToMillis(query.wait));
  if (!query.known_digests.empty()) {
    absl::StrAppend(&target, "&", kKnownDigestsField, "=", absl::StrJoin(query.known_digests, ","));
  }
  HttpRequest request{"GET", std::move(target), {{"Accept-Encoding", kDeflateCoding}}, ""};
  CallOptions options;
  options.timeout = query.wait + kResponseMargin;
  options.connect_timeout = kResponseMargin / 2;
  options.max_body_bytes = kMaxRelayBytes;
  const std::string address = ToString(relay);
  const TimePoint start = SteadyNow();
  HttpResult result = co_await client.Call(std::move(relay), std::move(request), options);
  if (!result.ok()) {
    LogInfo("relay_failed", {{"kind", query.kind},
                             {"relay", address},
                             {"reason", result.failure},
                             {"reused", result.reused ? "yes" : "no"},
                             {"took_ms", absl::StrCat(ToMillis(SteadyNow() - start))}});
    co_return std::nullopt;
  }
  const std::optional<std::string> body = DecodedBody(std::move(*result.response), kMaxRelayBytes);
  std::optional<ObjectChanges> changes;
  if (body) changes = DecodeObjectChanges(*body);
  if (!changes) LogWarning("relay_malformed", {{"kind", query.kind}, {"relay", address}});
  co_return changes;
}

}  // namespace fuchsiaweir
