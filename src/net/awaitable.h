#ifndef FUCHSIAWEIR_NET_AWAITABLE_H_
#define FUCHSIAWEIR_NET_AWAITABLE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "core/clock.h"

namespace fuchsiaweir {

/// A coroutine on the process's single I/O thread.
template <typename T>
using Awaitable = boost::asio::awaitable<T>;

/// Suspends the calling coroutine for `duration`.
Awaitable<void> SleepFor(Duration duration);

/// Starts a detached coroutine. An exception that escapes it is logged with `name`.
void Spawn(boost::asio::io_context& io, std::string name, std::function<Awaitable<void>()> body);

/// Starts a detached coroutine that is meant to run until the process stops. If an exception
/// escapes `body`, it is logged with `name` and `body` starts again after a short delay.
void SpawnService(boost::asio::io_context& io, std::string name,
                  std::function<Awaitable<void>()> body);

/// Runs the I/O loop until it is stopped. An exception that escapes a handler is logged; it ends
/// the operation that the handler belongs to, and no other.
void RunLoop(boost::asio::io_context& io);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_AWAITABLE_H_
