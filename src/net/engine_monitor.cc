#include "net/engine_monitor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr Duration kIdlePeriod = Seconds(1);
constexpr Duration kBusyPeriod = Millis(250);
constexpr Duration kProbeTimeout = Seconds(2);

/// Lets the streams that an ending engine breaks together all be seen as broken before the first
/// of them is settled.
constexpr Duration kCrashSettling = Millis(50);

}  // namespace

EngineMonitor::EngineMonitor(boost::asio::io_context& io, std::shared_ptr<EngineClient> engine)
    : engine_(std::move(engine)), io_(io), timer_(io) {}

void EngineMonitor::Start(OnReport on_report) {
  on_report_ = std::move(on_report);
  Spawn(io_, "engine_monitor", [self = shared_from_this()]() { return self->PollLoop(); });
}

void EngineMonitor::Close() {
  closed_ = true;
  on_report_ = nullptr;
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
    timer_.expires_after(busy_ || unreachable_ ? kBusyPeriod : kIdlePeriod);
    boost::system::error_code ignored;
    co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

Awaitable<EngineProbe> EngineMonitor::ProbeNow() {
  const TimePoint asked = SteadyNow();
  EngineProbe probe = co_await engine_->Probe(kProbeTimeout);
  Note(probe, asked);
  co_return probe;
}

void EngineMonitor::Note(const EngineProbe& probe, TimePoint asked) {
  unreachable_ = probe.unreachable;
  // Two polls may overlap; the earlier question must not replace the later answer.
  if (probe.load && asked >= asked_) {
    const EngineLoad& now = *probe.load;
    const bool same = load_ && load_->instance == now.instance && load_->model == now.model &&
                      load_->version == now.version;
    if (!same) ++epoch_;
    load_ = now;
    asked_ = asked;
  }
  if (on_report_) on_report_(probe);
}

Awaitable<bool> EngineMonitor::CrashedSince(std::string instance) {
  co_await SleepFor(kCrashSettling);
  const EngineProbe probe = co_await ProbeNow();
  co_return probe.unreachable || (probe.load && probe.load->instance != instance);
}

}  // namespace fuchsiaweir
