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

/// The platform's host list.
class HostList : public Component {
 public:
  /// Reads the whole list.
  virtual Awaitable<Result<std::vector<ListedHost>>> Read(Duration timeout) = 0;
};

/// Host list over HTTP: GET /hosts. The answer's entity tag makes the next read conditional, so
/// that an unchanged list costs a header instead of its 20 KB at 340 hosts.
class HttpHostList : public HostList {
 public:
  HttpHostList(HttpClient& client, Endpoint endpoint);
  Awaitable<Result<std::vector<ListedHost>>> Read(Duration timeout) override;

 private:
  HttpClient& client_;
  Endpoint endpoint_;
  std::string entity_tag_;  ///< Of `last_`; empty when the platform gives none.
  std::vector<ListedHost> last_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_HOST_LIST_H_
