#include "gateway/watched_contents.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace fuchsiaweir {

Awaitable<ObjectChanges> WatchedContents::Changes(boost::asio::io_context& io, StorePosition since,
                                                  std::vector<std::string> known_digests,
                                                  Duration wait, Duration max_age) {
  const TimePoint received_at = SuspendAwareNow();
  const Duration limit = std::min(wait, as_of + max_age - received_at);
  if (!log.HasChangesSince(since) && from_store && limit > Duration{0}) {
    boost::asio::steady_timer timer(io);
    timer.expires_after(limit);
    waiting_reads.push_back(&timer);
    const absl::Cleanup waited = [&]() { std::erase(waiting_reads, &timer); };
    boost::system::error_code ignored;  // A cancelled wait means that there is something to tell.
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  ObjectChanges changes = log.ChangesSince(since, known_digests);
  // The reader subtracts the age from the time of its call, so the wait for changes is no part of
  // it.
  changes.age = std::max(Duration{0}, received_at - as_of);
  changes.relayed = !from_store;
  changes.restoring = restore_ends_at.has_value();
  changes.ahead = ahead;
  co_return changes;
}

void WatchedContents::EndWaitingReads() {
  for (boost::asio::steady_timer* timer : waiting_reads) timer->cancel();
}

void WatchedContents::SetFromStore(bool value) {
  if (std::exchange(from_store, value) && !value) EndWaitingReads();
}

}  // namespace fuchsiaweir
