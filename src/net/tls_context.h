#ifndef FUCHSIAWEIR_NET_TLS_CONTEXT_H_
#define FUCHSIAWEIR_NET_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <memory>

#include "core/findings.h"
#include "core/settings.h"

namespace fuchsiaweir {

using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/// Contexts for accepting and for opening connections; null when the settings ask for no TLS.
struct TlsContexts {
  TlsContext server;
  TlsContext client;
};

/// Loads the certificate, key and authority named in the settings. Files that cannot be loaded
/// become findings.
TlsContexts LoadTlsContexts(const Settings& settings, Findings& findings);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_TLS_CONTEXT_H_
