#include "net/membership.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

// A leaving host must get no new work from 3 s after the list shows it. The interval is shorter,
// because the response to a poll takes part of that time.
constexpr Duration kMinPollInterval = Millis(1'600);
constexpr Duration kMaxPollInterval = Millis(2'200);

Duration RandomPollInterval() {
  thread_local absl::BitGen generator;
  return Micros(
      absl::Uniform<int64_t>(generator, kMinPollInterval.count(), kMaxPollInterval.count()));
}

}  // namespace

Membership::Membership(boost::asio::io_context& io, const Settings& settings, HostList& list)
    : io_(io), settings_(settings), list_(list) {}

void Membership::Start() {
  Spawn(io_, "membership", [this]() { return PollLoop(); });
}

Awaitable<void> Membership::Stop() {
  stopping_ = true;
  co_return;
}

Awaitable<void> Membership::PollLoop() {
  bool failing = false;
  while (!stopping_) {
    const TimePoint next_poll = SteadyNow() + RandomPollInterval();
    Result<Hosts> read = co_await list_.Read(Millis(settings_.platform_timeout_ms));
    if (read.has_error() != failing) {
      failing = read.has_error();
      LogWarning(failing ? "host_list_unavailable" : "host_list_available",
                 {{"reason", failing ? read.error().message : "answered"}});
    }
    if (read && read.value() != *hosts_) {
      hosts_ = std::make_shared<const Hosts>(std::move(read.value()));
      LogInfo("host_list_changed", {{"hosts", absl::StrCat(hosts_->size())}});
    }
    const TimePoint now = SteadyNow();
    if (now < next_poll) co_await SleepFor(next_poll - now);
  }
}

}  // namespace fuchsiaweir
