#ifndef FUCHSIAWEIR_NET_TLS_CONTEXT_H_
#define FUCHSIAWEIR_NET_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <memory>

#include "core/findings.h"
#include "core/settings.h"

namespace fuchsiaweir {

using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/// Contexts for accepting and for opening connections; null if the settings configure no TLS.
struct TlsContexts {
  TlsContext server;
  TlsContext client;
};

/// Loads the certificate, the key and the CA certificates that the settings name. Adds a finding
/// for each file that cannot be loaded.
TlsContexts LoadTlsContexts(const Settings& settings, Findings& findings);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_TLS_CONTEXT_H_
