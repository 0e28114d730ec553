#ifndef FUCHSIAWEIR_CORE_SERVICE_VERSIONS_H_
#define FUCHSIAWEIR_CORE_SERVICE_VERSIONS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// The versions of a service that may get requests without a rollout.
///
/// Load pattern: the runners of a new version are listed beside the old ones before the order to
/// roll it out arrives, or without any. The new version waits, so that the order decides about it.
class ServiceVersions {
 public:
  /// Start of the oldest listed runner (Unix time, ms) by version.
  using Listed = std::map<std::string, int64_t>;

  /// Applies the list of the service's runners. `target` is the version that is being rolled out;
  /// empty: none. Without `orders_known`, a new version waits on.
  void OnListed(const Listed& listed, const std::string& target, bool orders_known, TimePoint now);

  /// Applies an order for `target`. Returns false if there is no other version that it could
  /// replace: the service has this one already.
  bool OnOrder(const std::string& target);
  /// From now on only `target` gets requests.
  void OnDone(const std::string& target);
  /// From now on `target` gets no requests until another order names it.
  void OnReverted(const std::string& target);

  const std::set<std::string>& accepted() const { return accepted_; }

 private:
  void Accept(const std::string& version);

  std::set<std::string> accepted_;
  std::set<std::string> reverted_;
  std::set<std::string> replaced_;
  std::set<std::string> listed_;
  std::map<std::string, TimePoint> waiting_since_;  ///< By version.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_SERVICE_VERSIONS_H_
