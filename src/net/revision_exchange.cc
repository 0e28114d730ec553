#include "net/revision_exchange.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cstdint>
#include <memory>
#include <utility>

#include "net/config_client.h"

namespace fuchsiaweir {
namespace {

constexpr char kRevisionHeader[] = "X-Fw-Revision";
constexpr char kHostHeader[] = "X-Fw-Host";

/// Returns the sender's revision, or 0 when the header is absent or malformed.
int64_t RevisionOf(const HttpHeaders& headers) {
  int64_t revision = 0;
  return absl::SimpleAtoi(HeaderValue(headers, kRevisionHeader), &revision) ? revision : 0;
}

}  // namespace

RevisionExchange::RevisionExchange(ConfigService& config, HttpClient& peers,
                                   const Settings& settings)
    : config_(config), settings_(settings) {
  HttpClientHook hook;
  hook.on_request = [this](const Endpoint&, HttpRequest& request) {
    for (auto& [name, value] : OwnHeaders()) request.headers.emplace_back(name, value);
  };
  hook.on_response = [this](const Endpoint& peer, const HttpRequest& request,
                            const HttpResponse& response) {
    // The answer to a configuration request is the document itself.
    const bool has_document =
        response.status == 200 && absl::StartsWith(request.target, kConfigPath);
    if (!has_document) config_.FetchIfNewer(RevisionOf(response.headers), peer);
  };
  peers.AddHook(std::move(hook));
}

HttpHeaders RevisionExchange::OwnHeaders() const {
  return {{kRevisionHeader, absl::StrCat(config_.current()->revision)},
          {kHostHeader, settings_.host}};
}

void RevisionExchange::Serve(HttpExchange& exchange) {
  for (auto& [name, value] : OwnHeaders()) exchange.AddHeader(name, value);
  const HttpHeaders& headers = exchange.request().headers;
  const int64_t revision = RevisionOf(headers);
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  if (revision <= config->revision) return;
  const Host* sender = FindByName(config->inventory.hosts, HeaderValue(headers, kHostHeader));
  if (sender == nullptr) return;
  config_.FetchIfNewer(revision, {sender->address, static_cast<uint16_t>(sender->port)});
}

}  // namespace fuchsiaweir
