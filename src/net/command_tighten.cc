#include "net/command_tighten.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/json_fields.h"
#include "net/fleet_status.h"
#include "net/operator_change.h"
#include "net/peer_error.h"

namespace fuchsiaweir {
namespace {

HttpRequest MakeOrder(const Place& place, Duration validity) {
  const char* scope = place.scope == ServiceScope::kHost ? "host" : "data_centre";
  const boost::json::object body{{scope, place.name}, {"seconds", validity / Seconds(1)}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/internal/v1/tighten";
  request.body = boost::json::serialize(body);
  return request;
}

struct Confirmations {
  std::vector<std::string> confirmed;
  std::vector<std::string> missing;
  std::optional<Error> refusal;
};

Confirmations Count(const std::vector<Host>& hosts, const std::vector<HttpResult>& results) {
  Confirmations counted;
  for (size_t i = 0; i < hosts.size(); ++i) {
    const bool confirmed = results[i].ok();
    (confirmed ? counted.confirmed : counted.missing).push_back(hosts[i].name);
    if (!confirmed && results[i].response) {
      counted.refusal = DecodeErrorResponse(*results[i].response);
    }
  }
  return counted;
}

void Report(const OperatorSession& session, const Confirmations& counted) {
  std::string text = absl::StrCat("confirmed by ", counted.confirmed.size(), " processes\n");
  if (!counted.missing.empty()) {
    absl::StrAppend(&text, "not confirmed by ", absl::StrJoin(counted.missing, " "), "\n");
  }
  session.Print(text, {{"confirmed", ToJsonArray(counted.confirmed)},
                       {"missing", ToJsonArray(counted.missing)}});
}

Awaitable<ExitCode> Tighten(OperatorSession& session, Place place) {
  const Result<ConfigDocument> document = co_await session.ReadAnywhere();
  if (!document) co_return session.Fail(document.error());
  const Result<Inventory> inventory = InventoryOf(document.value());
  if (!inventory) co_return session.Fail(inventory.error());
  const std::vector<Host>& hosts = inventory.value().hosts;
  HttpRequest order = MakeOrder(place, session.options().tighten);
  const std::vector<HttpResult> results = co_await CallAllHosts(session, hosts, std::move(order));
  const Confirmations counted = Count(hosts, results);
  if (counted.confirmed.empty() && counted.refusal) co_return session.Fail(*counted.refusal);
  Report(session, counted);
  co_return counted.missing.empty() ? ExitCode::kDone : ExitCode::kNotInForce;
}

}  // namespace

ExitCode RunTighten(const Operands& operands) {
  const std::optional<Place> place = ParsePlace(operands);
  if (!place) return ExitCode::kUsage;
  return RunOperator([&](OperatorSession& session) { return Tighten(session, *place); });
}

}  // namespace fuchsiaweir
