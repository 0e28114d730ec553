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

HttpRequest MakeTightenRequest(const NamedScope& named_scope, Duration validity) {
  const char* scope_field = named_scope.scope == ServiceScope::kHost ? "host" : "data_centre";
  const boost::json::object body{{scope_field, named_scope.name},
                                 {"seconds", validity / Seconds(1)}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/internal/v1/tighten";
  request.body = boost::json::serialize(body);
  return request;
}

struct Confirmations {
  std::vector<std::string> confirmed;
  std::vector<std::string> missing;
  std::optional<Error> rejection;  ///< Last error response of a process.
};

Confirmations CollectConfirmations(const std::vector<Host>& hosts,
                                   const std::vector<HttpResult>& results) {
  Confirmations confirmations;
  for (size_t i = 0; i < hosts.size(); ++i) {
    const bool confirmed = results[i].ok();
    (confirmed ? confirmations.confirmed : confirmations.missing).push_back(hosts[i].name);
    if (!confirmed && results[i].response) {
      confirmations.rejection = DecodeErrorResponse(*results[i].response);
    }
  }
  return confirmations;
}

void PrintConfirmations(const OperatorSession& session, const Confirmations& confirmations) {
  std::string text = absl::StrCat("confirmed by ", confirmations.confirmed.size(), " processes\n");
  if (!confirmations.missing.empty()) {
    absl::StrAppend(&text, "not confirmed by ", absl::StrJoin(confirmations.missing, " "), "\n");
  }
  session.Print(text, {{"confirmed", ToJsonArray(confirmations.confirmed)},
                       {"missing", ToJsonArray(confirmations.missing)}});
}

Awaitable<ExitCode> Tighten(OperatorSession& session, NamedScope named_scope) {
  const Result<ConfigDocument> document = co_await session.ReadConfigWithPeerFallback();
  if (!document) co_return session.ReportError(document.error());
  const Result<Inventory> inventory = ParseDocumentInventory(document.value());
  if (!inventory) co_return session.ReportError(inventory.error());
  const std::vector<Host>& hosts = inventory.value().hosts;
  HttpRequest request = MakeTightenRequest(named_scope, session.options().tighten_validity);
  const std::vector<HttpResult> results = co_await CallAllHosts(session, hosts, std::move(request));
  const Confirmations confirmations = CollectConfirmations(hosts, results);
  if (confirmations.confirmed.empty() && confirmations.rejection) {
    co_return session.ReportError(*confirmations.rejection);
  }
  PrintConfirmations(session, confirmations);
  co_return confirmations.missing.empty() ? ExitCode::kDone : ExitCode::kNotInForce;
}

}  // namespace

ExitCode RunTighten(const Operands& operands) {
  const std::optional<NamedScope> named_scope = ParseNamedScope(operands);
  if (!named_scope) return ExitCode::kUsage;
  return RunInSession([&](OperatorSession& session) { return Tighten(session, *named_scope); });
}

}  // namespace fuchsiaweir
