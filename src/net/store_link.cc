#include "net/store_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

// A store that did not respond is retried after this delay, which doubles up to the maximum.
constexpr Duration kInitialBackoff = Seconds(1);
constexpr Duration kMaxBackoff = Seconds(30);

// A full store gains space only by eviction, so an immediate retry would only use link time.
constexpr Duration kFullStoreDelay = Seconds(10);

// Queued write-backs hold only block ids; the limit bounds how old they get before they start.
constexpr int64_t kMaxWriteBackBytes = 256'000'000;

constexpr size_t kMaxQuarantined = 4'096;
constexpr Duration kInitialRoundTrip = Millis(2);
// Minimum number of sequential requests per block: one range and the header check after it.
constexpr int64_t kRequestsPerBlock = 2;
// A new sample has a weight of 1/8 in the smoothed round-trip time, as in TCP.
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
      retry_timer_(io),
      backoff_(kInitialBackoff),
      round_trip_(kInitialRoundTrip) {}

Awaitable<bool> StoreLink::BeginTransfer(Transfer transfer) {
  const std::shared_ptr<StoreLink> self = shared_from_this();
  transfer.id = next_id_++;
  if (!schedule_.Add(transfer, SteadyNow())) co_return false;
  const auto waiter = std::make_shared<Waiter>(io_);
  waiters_[transfer.id] = waiter;
  StartNextTransfer();
  if (waiter->state == TransferState::kQueued) {
    boost::system::error_code woken;
    waiter->timer.expires_at(transfer.deadline);
    co_await waiter->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  waiters_.erase(transfer.id);
  if (waiter->state == TransferState::kQueued) schedule_.Cancel(transfer.id);
  co_return waiter->state == TransferState::kStarted;
}

void StoreLink::EndTransfer() {
  schedule_.Finish(SteadyNow());
  StartNextTransfer();
}

void StoreLink::StartNextTransfer() {
  const LinkActions actions = schedule_.Next(SteadyNow());
  for (const Transfer& dropped : actions.dropped) Resolve(dropped.id, TransferState::kDropped);
  if (actions.start) Resolve(actions.start->id, TransferState::kStarted);
  if (actions.retry_after <= Duration(0)) return;
  retry_timer_.expires_after(actions.retry_after);
  retry_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
    const std::shared_ptr<StoreLink> link = weak.lock();
    if (!cancelled && link != nullptr) link->StartNextTransfer();
  });
}

void StoreLink::Resolve(uint64_t id, TransferState state) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) return;
  found->second->state = state;
  found->second->timer.cancel();
}

void StoreLink::RecordFailure() {
  const TimePoint now = SteadyNow();
  if (down(now)) return;
  down_until_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void StoreLink::RecordSuccess(Duration round_trip) {
  backoff_ = kInitialBackoff;
  round_trip_ += (round_trip - round_trip_) / kRoundTripDivisor;
}

void StoreLink::MarkFull() { full_until_ = SteadyNow() + kFullStoreDelay; }

LinkState StoreLink::State(TimePoint now) const {
  const double rate = down(now) ? 0 : schedule_.Rate(now);
  return {schedule_.QueuedBytes(), rate, round_trip_ * kRequestsPerBlock};
}

}  // namespace fuchsiaweir
