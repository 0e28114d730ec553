#ifndef FUCHSIAWEIR_NET_FLEET_STATUS_H_
#define FUCHSIAWEIR_NET_FLEET_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/inventory.h"
#include "net/operator_session.h"

namespace fuchsiaweir {

/// What one process of the inventory answered.
struct ProcessStatus {
  std::string host;
  std::string data_centre;
  std::string role;
  bool listed = false;   ///< The host list shows the host.
  bool answers = false;  ///< It answered; otherwise the fields below are empty.
  int64_t revision = 0;
  bool ready = false;
  std::string state;  ///< Service state of the host by its own view.

  /// A host that is neither listed nor answers does not run.
  bool live() const { return listed || answers; }
};

/// Sends a request to the process of every host at once and returns the results in the order of
/// the hosts.
Awaitable<std::vector<HttpResult>> CallAllHosts(OperatorSession& session, std::vector<Host> hosts,
                                                HttpRequest request);

/// Asks every process of the inventory for its status. Without a host list all count as listed.
Awaitable<std::vector<ProcessStatus>> ReadFleetStatus(OperatorSession& session,
                                                      std::vector<Host> hosts);

/// Waits until every live process reports at least `revision`. Returns those that did not when the
/// command's timeout passed.
Awaitable<std::vector<ProcessStatus>> WaitForRevision(OperatorSession& session,
                                                      std::vector<Host> hosts, int64_t revision,
                                                      TimePoint deadline);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_FLEET_STATUS_H_
