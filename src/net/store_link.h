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

/// The link to one store: its client, its queue and what is known of its health.
class StoreLink : public std::enable_shared_from_this<StoreLink> {
 public:
  StoreLink(boost::asio::io_context& io, const Store& store, HttpClient& client);

  /// Waits until the transfer may start. Returns false when it was dropped or its deadline passed.
  /// After true, the caller ends the transfer with `Leave`.
  Awaitable<bool> Enter(Transfer transfer);
  void Progress(int64_t bytes) { schedule_.Progress(bytes, SteadyNow()); }
  void Leave();

  /// Records that the store did not answer. It gets no further work for a while.
  void Fail();
  /// Records an answer and its round trip.
  void Succeed(Duration round_trip);
  /// Records that the store had no room. It gets no write-back for a while.
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
  enum class Turn { kWaiting, kStarted, kDropped };
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    Turn turn = Turn::kWaiting;
  };

  void Pump();
  void Wake(uint64_t id, Turn turn);

  boost::asio::io_context& io_;
  Store store_;
  std::unique_ptr<KvStoreClient> client_;
  LinkSchedule schedule_;
  BlockSet quarantine_;
  boost::asio::steady_timer retry_;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters_;
  uint64_t next_id_ = 1;
  TimePoint down_until_{};
  TimePoint full_until_{};
  Duration backoff_;
  Duration round_trip_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_STORE_LINK_H_
