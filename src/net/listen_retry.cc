#include "net/listen_retry.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "net/awaitable.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kFirstDelay = Millis(20);
constexpr Duration kMaxDelay = Millis(500);

/// Returns whether the socket is open.
bool TryOpen(const ListenSocket& socket, int attempt, Duration delay) {
  try {
    socket.open();
  } catch (const std::exception& e) {
    LogWarning("listen_failed", {{"socket", socket.name},
                                 {"address", ToString(socket.address)},
                                 {"reason", e.what()},
                                 {"attempt", absl::StrCat(attempt)},
                                 {"retry_ms", absl::StrCat(ToMillis(delay))}});
    return false;
  }
  if (attempt > 1) {
    LogInfo("listen_opened", {{"socket", socket.name},
                              {"address", ToString(socket.address)},
                              {"attempt", absl::StrCat(attempt)}});
  }
  if (socket.opened) socket.opened();
  return true;
}

}  // namespace

void ListenWithRetry(boost::asio::io_context& io, ListenSocket socket) {
  if (TryOpen(socket, 1, kFirstDelay)) return;
  Spawn(io, "listen_retry", [socket = std::move(socket)]() -> Awaitable<void> {
    Duration delay = kFirstDelay;
    for (int attempt = 2;; ++attempt) {
      co_await SleepFor(delay);
      delay = std::min(delay * 2, kMaxDelay);
      if (!socket.is_wanted() || TryOpen(socket, attempt, delay)) co_return;
    }
  });
}

}  // namespace fuchsiaweir
