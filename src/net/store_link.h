#ifndef FUCHSIAWEIR_NET_STORE_LINK_H_
#define FUCHSIAWEIR_NET_STORE_LINK_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/block_set.h"
#include "core/fetch_plan.h"
#include "core/inventory.h"
#include "core/link_schedule.h"
#include "net/awaitable.h"
#include "net/kv_store_client.h"

namespace fuchsiaweir {

/// The link to one store: its client, transfer queue and health state.
class StoreLink : public std::enable_shared_from_this<StoreLink> {
 public:
  StoreLink(boost::asio::io_context& io, const Store& store, HttpClient& client);

  /// Waits until the transfer may start. Returns false if it was dropped or its deadline passed. If
  /// it returns true, the caller must call `EndTransfer`.
  Awaitable<bool> BeginTransfer(Transfer transfer);
  void RecordProgress(int64_t bytes) { schedule_.Progress(bytes, SteadyNow()); }
  void EndTransfer();

  /// Records that the store did not respond. It is not used again until a backoff delay has passed.
  void RecordFailure();
  /// Records a response and its round-trip time.
  void RecordSuccess(Duration round_trip);
  /// Records that the store had no space. Write-backs to it are suspended for a fixed delay.
  void MarkFull();

  bool down(TimePoint now) const { return now < down_until_; }
  bool accepts_writes(TimePoint now) const { return !down(now) && now >= full_until_; }
  LinkState State(TimePoint now) const;

  const Store& store() const { return store_; }
  KvStoreClient& client() { return *client_; }
  LinkSchedule& schedule() { return schedule_; }
  /// Blocks whose copy in this store failed a check.
  BlockSet& quarantine() { return quarantine_; }

 private:
  enum class TransferState { kQueued, kStarted, kDropped };
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    TransferState state = TransferState::kQueued;
  };

  void StartNextTransfer();
  void Resolve(uint64_t id, TransferState state);

  boost::asio::io_context& io_;
  Store store_;
  std::unique_ptr<KvStoreClient> client_;
  LinkSchedule schedule_;
  BlockSet quarantine_;
  boost::asio::steady_timer retry_timer_;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters_;
  uint64_t next_id_ = 1;
  TimePoint down_until_{};
  TimePoint full_until_{};
  Duration backoff_;
  Duration round_trip_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_STORE_LINK_H_
