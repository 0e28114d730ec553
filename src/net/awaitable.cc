#include "net/awaitable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {

namespace asio = boost::asio;
namespace {

constexpr Duration kServiceRestartDelay = Millis(300);

}  // namespace

Awaitable<void> SleepFor(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

void Spawn(asio::io_context& io, std::string name, std::function<Awaitable<void>()> body) {
  asio::co_spawn(io, std::move(body), [name = std::move(name)](const std::exception_ptr& failure) {
    if (failure == nullptr) return;
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& e) {
      LogError("task_failed", {{"task", name}, {"reason", e.what()}});
    }
  });
}

void SpawnService(asio::io_context& io, std::string name, std::function<Awaitable<void>()> body) {
  Spawn(io, name, [name, body = std::move(body)]() -> Awaitable<void> {
    while (true) {
      std::string failure;
      try {
        co_await body();
        co_return;
      } catch (const std::exception& e) {
        failure = e.what();  // A handler of exceptions cannot suspend.
      }
      LogError("service_failed", {{"task", name}, {"reason", failure}});
      co_await SleepFor(kServiceRestartDelay);
    }
  });
}

void RunLoop(asio::io_context& io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& e) {
      // The operation's coroutine is destroyed with the handler, which releases what it holds.
      LogError("operation_failed", {{"reason", e.what()}});
    }
  }
}

}  // namespace fuchsiaweir
