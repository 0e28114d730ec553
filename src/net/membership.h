#ifndef FUCHSIAWEIR_NET_MEMBERSHIP_H_
#define FUCHSIAWEIR_NET_MEMBERSHIP_H_

#include <memory>
#include <vector>

#include "core/listed_host.h"
#include "core/settings.h"
#include "net/component_registry.h"
#include "net/host_list.h"

namespace fuchsiaweir {

/// The platform's host list as this process last read it. The last list stays in force while the
/// platform does not answer.
class Membership : public Component {
 public:
  using Hosts = std::vector<ListedHost>;

  Membership(boost::asio::io_context& io, const Settings& settings, HostList& list);

  void Start() override;
  Awaitable<void> Stop() override;

  /// Returns the last list; empty until the first one has arrived. The pointer changes only when
  /// the list does.
  const std::shared_ptr<const Hosts>& hosts() const { return hosts_; }

 private:
  Awaitable<void> PollLoop();

  boost::asio::io_context& io_;
  const Settings& settings_;
  HostList& list_;
  std::shared_ptr<const Hosts> hosts_ = std::make_shared<const Hosts>();
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_MEMBERSHIP_H_
