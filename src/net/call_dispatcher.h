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
/// A non-idempotent call with an idempotency key runs at most once: its key is claimed in the
/// platform before the service is called, and its outcome is recorded for retries. The promise
/// holds for the claim lifetime. A UUID version 7 key in lower case carries its time and is refused
/// once it is older than the lifetime. Any other text counts from its first sight, so that a retry
/// after the lifetime runs again.
class CallDispatcher {
 public:
  CallDispatcher(boost::asio::io_context& io, HttpClient& client, ObjectApi& objects,
                 Metrics& metrics, Duration platform_timeout);

  /// Ends within the call's deadline. The run state of an error is true for this call.
  Awaitable<Result<ServiceResponse>> Dispatch(ServiceCall call, Service service,
                                              Duration claim_lifetime);

  /// Waits until all outcomes are recorded, at most `limit`.
  Awaitable<void> Flush(Duration limit);

 private:
  struct Waiter;
  struct Shard;

  Awaitable<Result<ServiceResponse>> Call(ServiceCall call, Service service, TimePoint deadline);
  Awaitable<Result<ServiceResponse>> CallClaimed(std::shared_ptr<Shard> shard, std::string nonce,
                                                 ServiceCall call, Service service,
                                                 TimePoint deadline);
  std::shared_ptr<Shard> ShardOf(const std::string& claim_id, Duration claim_lifetime);
  Awaitable<ClaimVerdict> Claim(std::shared_ptr<Shard> shard, ClaimProposal proposal,
                                TimePoint deadline);
  void Wake(const std::shared_ptr<Shard>& shard);
  Awaitable<void> Pump(std::shared_ptr<Shard> shard);
  Awaitable<bool> Step(std::shared_ptr<Shard> shard, ClaimStep step);
  void Deliver(Shard& shard);
  void DropIdleShards();

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
