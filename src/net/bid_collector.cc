#include "net/bid_collector.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "net/peer_error.h"

namespace fuchsiaweir {
namespace {

/// Window from the start in which further bids are awaited once one has arrived. Agents make bids
/// from memory and the round trip between data centres takes 3 ms, so a later bid comes from an
/// overloaded or failing agent.
constexpr Duration kBidWindow = Millis(25);

struct Collection {
  explicit Collection(boost::asio::io_context& io) : changed(io) {}

  CollectedBids result;
  size_t pending = 0;
  boost::asio::steady_timer changed;
};

void AddRefusal(CollectedBids& result, const Error& refusal) {
  if (!result.refusal || refusal.retry_after < result.refusal->retry_after) {
    result.refusal = refusal;
  }
}

void AddResponse(Collection& collection, const BidTarget& target, const HttpResult& call_result) {
  CollectedBids& result = collection.result;
  if (!call_result.response) {
    ++result.unanswered;
    return;
  }
  Result<std::vector<Bid>> bids = DecodeBidResponse(call_result.response->body);
  if (bids) {
    for (Bid& bid : bids.value()) result.bids.push_back({std::move(bid), target});
  } else if (bids.error().code == ErrorCode::kIncompleteAnswer) {
    ++result.unanswered;
  } else {
    AddRefusal(result, bids.error());
  }
}

Awaitable<void> RequestBids(std::shared_ptr<Collection> collection, HttpClient& client,
                            BidTarget target, HttpRequest request, Duration timeout) {
  CallOptions options;
  options.timeout = timeout;
  const HttpResult call_result = co_await client.Call(target.agent, std::move(request), options);
  AddResponse(*collection, target, call_result);
  --collection->pending;
  collection->changed.cancel();
}

}  // namespace

Awaitable<CollectedBids> CollectBids(boost::asio::io_context& io, HttpClient& client,
                                     std::vector<BidTarget> targets, BidRequest request,
                                     Duration timeout) {
  auto collection = std::make_shared<Collection>(io);
  collection->pending = targets.size();
  HttpRequest message{"POST", "/internal/v1/bids", {}, EncodeBidRequest(request)};
  for (const BidTarget& target : targets) {
    Spawn(io, "bid", [collection, &client, target, message, timeout]() {
      return RequestBids(collection, client, target, message, timeout);
    });
  }
  const TimePoint started = SteadyNow();
  while (collection->pending > 0) {
    const bool has_bid = !collection->result.bids.empty();
    const TimePoint deadline = started + (has_bid ? std::min(kBidWindow, timeout) : timeout);
    if (SteadyNow() >= deadline) break;
    boost::system::error_code woken;
    collection->changed.expires_at(deadline);
    co_await collection->changed.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  CollectedBids result = collection->result;
  result.unanswered += collection->pending;
  co_return result;
}

}  // namespace fuchsiaweir
