// Tests of what an exception ends: one operation, and neither the process nor a service of it.

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <new>
#include <stdexcept>

#include "net/awaitable.h"
#include "net/timer_service.h"

namespace fuchsiaweir::testing {

TEST_GROUP(IoLoop) { boost::asio::io_context io{1}; };

// Guards against a process that ends, with all requests that it holds, because one message made an
// operation throw outside of any coroutine.
TEST(IoLoop, AnExceptionEndsOneOperation) {
  int done = 0;
  boost::asio::post(io, []() { throw std::bad_alloc(); });
  Spawn(io, "other", [&]() -> Awaitable<void> {
    co_await SleepFor(Millis(20));
    ++done;
  });
  RunLoop(io);
  LONGS_EQUAL(1, done);
}

// Guards against a list that is no longer followed because one page of it made the reader throw.
TEST(IoLoop, AServiceStartsAgain) {
  int starts = 0;
  SpawnService(io, "watch", [&]() -> Awaitable<void> {
    co_await SleepFor(Millis(1));
    if (++starts < 3) throw std::length_error("page");
  });
  RunLoop(io);
  LONGS_EQUAL(3, starts);
}

// Guards against a timer that is never called again after one failure.
TEST(IoLoop, ATimerGoesOnAfterAnException) {
  int calls = 0;
  TimerService timer(io);
  timer.Subscribe("check", Millis(5), [&](TimePoint) {
    if (++calls == 1) throw std::runtime_error("check");
    if (calls == 3) io.stop();
  });
  timer.Start();
  RunLoop(io);
  LONGS_EQUAL(3, calls);
}

}  // namespace fuchsiaweir::testing
