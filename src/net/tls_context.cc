#include "net/tls_context.h"

#include <string>

namespace fuchsiaweir {
namespace {

namespace ssl = boost::asio::ssl;
using boost::system::error_code;

void AddIfFailed(const std::string& file, const error_code& failure, Findings& findings) {
  if (failure) findings.Add(file, 0, "cannot be used for TLS: " + failure.message());
}

TlsContext MakeContext(ssl::context::method method, const Settings& settings, Findings& findings) {
  auto context = std::make_shared<ssl::context>(method);
  context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 |
                       ssl::context::no_tlsv1_1);
  error_code failure;
  context->use_certificate_chain_file(settings.tls_certificate_file, failure);
  AddIfFailed(settings.tls_certificate_file, failure, findings);
  context->use_private_key_file(settings.tls_key_file, ssl::context::pem, failure);
  AddIfFailed(settings.tls_key_file, failure, findings);
  if (!settings.tls_ca_file.empty()) {
    context->load_verify_file(settings.tls_ca_file, failure);
    AddIfFailed(settings.tls_ca_file, failure, findings);
  }
  return context;
}

}  // namespace

TlsContexts LoadTlsContexts(const Settings& settings, Findings& findings) {
  TlsContexts contexts;
  if (settings.tls_certificate_file.empty()) return contexts;
  contexts.server = MakeContext(ssl::context::tls_server, settings, findings);
  contexts.client = MakeContext(ssl::context::tls_client, settings, findings);
  // Peers are addressed by IP address, so the certificate chain is verified but not the name.
  contexts.client->set_verify_mode(settings.tls_ca_file.empty() ? ssl::verify_none
                                                                : ssl::verify_peer);
  return contexts;
}

}  // namespace fuchsiaweir
