#ifndef FUCHSIAWEIR_TEST_STANDIN_CLIENT_PORTS_H_
#define FUCHSIAWEIR_TEST_STANDIN_CLIENT_PORTS_H_

#include <cstdint>
#include <set>

#include "net/http_server.h"
#include "net/http_transport.h"

namespace fuchsiaweir::standin {

/// Tells connections that were open at some moment from later ones, by the port of the client.
class ClientPorts {
 public:
  void OnRequest(HttpExchange& exchange) { seen_.insert(PortOf(exchange)); }
  /// Marks all connections that have carried a request.
  void Silence() { silent_ = seen_; }
  bool IsSilent(HttpExchange& exchange) const { return silent_.count(PortOf(exchange)) > 0; }

  static uint16_t PortOf(HttpExchange& exchange) {
    boost::system::error_code ignored;
    return exchange.transport().tcp().socket().remote_endpoint(ignored).port();
  }

 private:
  std::set<uint16_t> seen_;
  std::set<uint16_t> silent_;
};

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_CLIENT_PORTS_H_
