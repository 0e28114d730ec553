#ifndef FUCHSIAWEIR_NET_HOST_LIST_H_
#define FUCHSIAWEIR_NET_HOST_LIST_H_

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/listed_host.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/component_registry.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Client of the platform's host list.
class HostList : public Component {
 public:
  /// Reads the complete list.
  virtual Awaitable<Result<std::vector<ListedHost>>> Read(Duration timeout) = 0;
};

/// Host list over HTTP: GET /hosts. Reads are conditional on the entity tag of the last response,
/// so that an unchanged list costs only a response header instead of 20 KB at 340 hosts.
class HttpHostList : public HostList {
 public:
  HttpHostList(HttpClient& client, Endpoint endpoint);
  Awaitable<Result<std::vector<ListedHost>>> Read(Duration timeout) override;

 private:
  HttpClient& client_;
  Endpoint endpoint_;
  std::string entity_tag_;  ///< Entity tag of `last_hosts_`; empty if the platform sends none.
  std::vector<ListedHost> last_hosts_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HOST_LIST_H_
