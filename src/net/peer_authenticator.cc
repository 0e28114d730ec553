#include "net/peer_authenticator.h"

#include <chrono>
#include <stdexcept>
#include <utility>

#include "core/file_text.h"
#include "core/unix_time.h"
#include "net/log.h"
#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

constexpr char kAuthHeader[] = "X-Fw-Auth";
/// Name of the sender, which the proof covers.
constexpr char kHostHeader[] = "X-Fw-Host";
constexpr Duration kReadPeriod = Seconds(1);

}  // namespace

void SignRequest(HttpRequest& request, const PeerKey& key, const std::string& sender) {
  if (HeaderValue(request.headers, kHostHeader).empty()) {
    request.headers.emplace_back(kHostHeader, sender);
  }
  const PeerMessage message{request.method, request.target, request.body,
                            HeaderValue(request.headers, kHostHeader)};
  request.headers.emplace_back(kAuthHeader, SignPeerMessage(key, message, UnixMillis()));
}

PeerAuthenticator::PeerAuthenticator(ComponentRegistry& components, HttpClient& peers,
                                     const Settings& settings)
    : settings_(settings) {
  if (!active()) {
    LogWarning("peer_authentication_off", {{"reason", "peers.key_file is not set"}});
    return;
  }
  ReadKeys();
  if (keys_.empty()) throw std::runtime_error("unusable key file " + settings.peer_key_file);
  HttpClientHook hook;
  hook.on_request = [this](const Endpoint&, HttpRequest& request) {
    SignRequest(request, keys_.front(), settings_.host);
  };
  peers.AddHook(std::move(hook));
  components.Find<TimerService>("timer").Subscribe("peer_keys", kReadPeriod,
                                                   [this](TimePoint) { ReadKeys(); });
}

void PeerAuthenticator::ReadKeys() {
  Findings findings;
  const std::optional<std::string> text = ReadFileText(settings_.peer_key_file, findings);
  std::optional<std::vector<PeerKey>> keys;
  if (text) keys = ParsePeerKeys(*text, settings_.peer_key_file, findings);
  if (keys) {
    keys_ = std::move(*keys);
    return;
  }
  // A file that is half written or gone leaves the keys that were read on_request in force.
  LogWarning("peer_keys_not_read", {{"reason", findings.ToString()}});
}

std::optional<Error> PeerAuthenticator::Refusal(const HttpExchange& exchange) const {
  if (!active()) return std::nullopt;
  const HttpRequest& request = exchange.request();
  const PeerMessage message{request.method, request.target, request.body,
                            HeaderValue(request.headers, kHostHeader)};
  const std::string proof = HeaderValue(request.headers, kAuthHeader);
  const Result<void> result = VerifyPeerMessage(keys_, message, proof, UnixMillis());
  if (result) return std::nullopt;
  return result.error();
}

}  // namespace fuchsiaweir
