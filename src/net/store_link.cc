#include "net/store_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

// A store without an answer is tried again after this pause, which doubles up to the maximum.
constexpr Duration kFirstBackoff = Seconds(1);
constexpr Duration kMaxBackoff = Seconds(30);

// A full store frees room only when it evicts, so asking again at once would only take link time.
constexpr Duration kFullPause = Seconds(10);

// Write-back that waits holds no bytes, only ids; this bounds the time until it is out of date.
constexpr int64_t kMaxWriteBackBytes = 256'000'000;

constexpr size_t kMaxQuarantined = 4'096;
constexpr Duration kExpectedRoundTrip = Millis(2);
// Requests of one block that wait for each other: the range and the check after it.
constexpr int64_t kRequestsPerBlock = 2;
// Part of a new sample in the smoothed round trip, as in TCP.
constexpr int64_t kRoundTripDivisor = 8;

LinkOptions OptionsOf(const Store& store) {
  LinkOptions options;
  options.nominal_bytes_per_second = static_cast<double>(store.link_bytes_per_second);
  options.max_write_back_bytes = kMaxWriteBackBytes;
  return options;
}

}  // namespace

StoreLink::StoreLink(boost::asio::io_context& io, const Store& store, HttpClient& client)
    : io_(io),
      store_(store),
      client_(MakeHttpKvStoreClient(client, {store.address, static_cast<uint16_t>(store.port)})),
      schedule_(OptionsOf(store), SteadyNow()),
      quarantine_(kMaxQuarantined),
      retry_(io),
      backoff_(kFirstBackoff),
      round_trip_(kExpectedRoundTrip) {}

Awaitable<bool> StoreLink::Enter(Transfer transfer) {
  const std::shared_ptr<StoreLink> self = shared_from_this();
  transfer.id = next_id_++;
  if (!schedule_.Add(transfer, SteadyNow())) co_return false;
  const auto waiter = std::make_shared<Waiter>(io_);
  waiters_[transfer.id] = waiter;
  Pump();
  if (waiter->turn == Turn::kWaiting) {
    boost::system::error_code woken;
    waiter->timer.expires_at(transfer.deadline);
    co_await waiter->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  waiters_.erase(transfer.id);
  if (waiter->turn == Turn::kWaiting) schedule_.Cancel(transfer.id);
  co_return waiter->turn == Turn::kStarted;
}

void StoreLink::Leave() {
  schedule_.Finish(SteadyNow());
  Pump();
}

void StoreLink::Pump() {
  const LinkActions actions = schedule_.Next(SteadyNow());
  for (const Transfer& dropped : actions.dropped) Wake(dropped.id, Turn::kDropped);
  if (actions.start) Wake(actions.start->id, Turn::kStarted);
  if (actions.retry_after <= Duration(0)) return;
  retry_.expires_after(actions.retry_after);
  retry_.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
    const std::shared_ptr<StoreLink> link = weak.lock();
    if (!cancelled && link != nullptr) link->Pump();
  });
}

void StoreLink::Wake(uint64_t id, Turn turn) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) return;
  found->second->turn = turn;
  found->second->timer.cancel();
}

void StoreLink::Fail() {
  const TimePoint now = SteadyNow();
  if (down(now)) return;
  down_until_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void StoreLink::Succeed(Duration round_trip) {
  backoff_ = kFirstBackoff;
  round_trip_ += (round_trip - round_trip_) / kRoundTripDivisor;
}

void StoreLink::MarkFull() { full_until_ = SteadyNow() + kFullPause; }

LinkState StoreLink::State(TimePoint now) const {
  const double rate = down(now) ? 0 : schedule_.Rate(now);
  return {schedule_.QueuedBytes(), rate, round_trip_ * kRequestsPerBlock};
}

}  // namespace fuchsiaweir
