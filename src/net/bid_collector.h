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

/// An agent to ask, and the runner that it is asked for.
struct BidTarget {
  std::string host;
  Endpoint agent;
};

/// A bid and the agent that made it.
struct CollectedBid {
  Bid bid;
  BidTarget target;
};

/// Answers of the agents that were asked.
struct CollectedBids {
  std::vector<CollectedBid> bids;
  std::optional<Error> refusal;  ///< The refusal with the shortest wait, when an agent refused.
  size_t silent = 0;             ///< Agents without a usable answer in time.
};

/// Asks the agents at the same time. Returns when all have answered, or after a short window when
/// at least one bid has arrived, or at the latest after `timeout`.
Awaitable<CollectedBids> CollectBids(boost::asio::io_context& io, HttpClient& client,
                                     std::vector<BidTarget> targets, BidRequest request,
                                     Duration timeout);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_BID_COLLECTOR_H_
