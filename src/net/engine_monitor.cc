#include "net/engine_monitor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr Duration kIdlePollPeriod = Seconds(1);
constexpr Duration kBusyPollPeriod = Millis(250);
constexpr Duration kProbeTimeout = Seconds(2);

// A crash breaks all streams of an engine at about the same time. The delay lets all of them fail
// before the first one is handled.
constexpr Duration kCrashDetectionDelay = Millis(50);

}  // namespace

EngineMonitor::EngineMonitor(boost::asio::io_context& io, std::shared_ptr<EngineClient> engine)
    : engine_(std::move(engine)), io_(io), timer_(io) {}

void EngineMonitor::Start(PollCallback on_poll) {
  on_poll_ = std::move(on_poll);
  Spawn(io_, "engine_monitor", [self = shared_from_this()]() { return self->PollLoop(); });
}

void EngineMonitor::Close() {
  closed_ = true;
  on_poll_ = nullptr;
  timer_.cancel();
}

void EngineMonitor::SetBusy(bool busy) {
  if (busy && !busy_) timer_.cancel();
  busy_ = busy;
}

Awaitable<void> EngineMonitor::PollLoop() {
  while (!closed_) {
    co_await ProbeNow();
    if (closed_) break;
    timer_.expires_after(busy_ || unreachable_ ? kBusyPollPeriod : kIdlePollPeriod);
    boost::system::error_code ignored;
    co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

Awaitable<EngineProbe> EngineMonitor::ProbeNow() {
  const TimePoint requested_at = SteadyNow();
  EngineProbe probe = co_await engine_->Probe(kProbeTimeout);
  ApplyProbe(probe, requested_at);
  co_return probe;
}

void EngineMonitor::ApplyProbe(const EngineProbe& probe, TimePoint requested_at) {
  unreachable_ = probe.unreachable;
  // Polls may overlap; the report of an earlier request must not replace that of a later one.
  if (probe.load && requested_at >= requested_at_) {
    const EngineLoad& current = *probe.load;
    const bool same = load_ && load_->instance == current.instance &&
                      load_->model == current.model && load_->version == current.version;
    if (!same) ++epoch_;
    load_ = current;
    requested_at_ = requested_at;
  }
  if (on_poll_) on_poll_(probe);
}

Awaitable<bool> EngineMonitor::CrashedSince(std::string instance) {
  co_await SleepFor(kCrashDetectionDelay);
  const EngineProbe probe = co_await ProbeNow();
  co_return probe.unreachable || (probe.load && probe.load->instance != instance);
}

}  // namespace fuchsiaweir
