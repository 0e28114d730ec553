#ifndef FUCHSIAWEIR_NET_CALL_DISPATCHER_H_
#define FUCHSIAWEIR_NET_CALL_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/claim.h"
#include "core/inventory.h"
#include "core/result.h"
#include "core/run_message.h"
#include "net/http_client.h"
#include "net/metrics.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Calls the plain services on this agent's host.
///
/// A non-idempotent call with an idempotency key runs at most once within the claim lifetime: its
/// key is claimed in the platform before the service is called, and its outcome is recorded for
/// retries. A lower-case UUID version 7 key contains its creation time and is refused once it is
/// older than the lifetime. The lifetime of any other key starts when an agent first receives it,
/// so a retry after the lifetime runs again.
class CallDispatcher {
 public:
  CallDispatcher(boost::asio::io_context& io, HttpClient& client, ObjectApi& objects,
                 Metrics& metrics, Duration platform_timeout);

  /// Returns within the call's deadline. The run state of an error applies to this call.
  Awaitable<Result<ServiceResponse>> Dispatch(ServiceCall call, Service service,
                                              Duration claim_lifetime);

  /// Waits until all outcomes are recorded, for at most `timeout`.
  Awaitable<void> Flush(Duration timeout);

 private:
  struct Waiter;
  struct Shard;

  Awaitable<Result<ServiceResponse>> Call(ServiceCall call, Service service, TimePoint deadline);
  Awaitable<Result<ServiceResponse>> CallClaimed(std::shared_ptr<Shard> shard, std::string nonce,
                                                 ServiceCall call, Service service,
                                                 TimePoint deadline);
  std::shared_ptr<Shard> FindOrCreateShard(const std::string& claim_id, Duration claim_lifetime);
  Awaitable<ClaimVerdict> Claim(std::shared_ptr<Shard> shard, ClaimProposal proposal,
                                TimePoint deadline);
  void StartProcessing(const std::shared_ptr<Shard>& shard);
  Awaitable<void> ProcessShard(std::shared_ptr<Shard> shard);
  Awaitable<bool> ExecuteStep(std::shared_ptr<Shard> shard, ClaimStep step);
  void DeliverVerdicts(Shard& shard);
  void EvictIdleShards();

  boost::asio::io_context& io_;
  HttpClient& client_;
  ObjectApi& objects_;
  Duration platform_timeout_;
  prometheus::Counter& proposals_;
  prometheus::Counter& writes_;
  prometheus::Counter& conflicts_;
  std::map<std::string, std::shared_ptr<Shard>> shards_;  ///< By object name.
  int64_t last_ticket_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CALL_DISPATCHER_H_
