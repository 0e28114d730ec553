#include "net/notifier.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fuchsiaweir {

namespace asio = boost::asio;

Awaitable<void> Notifier::WaitUntil(TimePoint deadline) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(deadline);
  waiters_.insert(&timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  waiters_.erase(&timer);
}

void Notifier::NotifyAll() {
  for (asio::steady_timer* timer : waiters_) timer->cancel();
}

}  // namespace fuchsiaweir
