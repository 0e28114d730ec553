#ifndef FUCHSIAWEIR_NET_BID_COLLECTOR_H_
#define FUCHSIAWEIR_NET_BID_COLLECTOR_H_

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/bid.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// An agent to request bids from.
struct BidTarget {
  std::string host;
  Endpoint agent;
};

/// A bid and the agent that made it.
struct CollectedBid {
  Bid bid;
  BidTarget target;
};

/// Responses of the agents.
struct CollectedBids {
  std::vector<CollectedBid> bids;
  std::optional<Error> refusal;  ///< The refusal with the shortest retry delay, if any.
  size_t unanswered = 0;         ///< Agents without a usable response in time.
};

/// Requests bids from all agents concurrently. Returns once all have responded, or after a short
/// window if at least one bid has arrived, or after `timeout`.
Awaitable<CollectedBids> CollectBids(boost::asio::io_context& io, HttpClient& client,
                                     std::vector<BidTarget> targets, BidRequest request,
                                     Duration timeout);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_BID_COLLECTOR_H_
