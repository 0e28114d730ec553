#include "net/run_buffers.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// Heartbeats per progress deadline. A few late ones must not look like a stalled connection.
constexpr int64_t kHeartbeatsPerDeadline = 5;
constexpr Duration kMinHeartbeatInterval = Millis(20);

Frame MakeHeartbeat(const RunAttempt& run, int64_t offset) {
  Frame frame;
  frame.run = run.run;
  frame.attempt = run.attempt;
  frame.offset = offset;
  return frame;
}

bool EndsRun(const Frame& frame) { return frame.done || frame.error.has_value(); }

}  // namespace

RunBuffers::RunBuffers(boost::asio::io_context& io, RunTableLimits limits, StopRun stop)
    : io_(io), table_(limits), stop_(std::move(stop)) {}

void RunBuffers::Configure(const Rules& rules) {
  table_.SetAttachWindow(Millis(rules.attach_window_ms));
  heartbeat_interval_ =
      std::max(kMinHeartbeatInterval, Millis(rules.progress_deadline_ms) / kHeartbeatsPerDeadline);
}

std::optional<Error> RunBuffers::Open(const RunAttempt& run, int64_t offset) {
  const Result<std::optional<RunAttempt>> opened =
      table_.Open(run.run, run.attempt, offset, SteadyNow());
  if (!opened) return opened.error();
  if (opened.value()) {
    stop_(*opened.value());
    NotifyReaders(run.run);
  }
  return std::nullopt;
}

void RunBuffers::Discard(const RunAttempt& run) { table_.Cancel(run.run, run.attempt); }

bool RunBuffers::Append(const RunAttempt& run, const std::vector<std::string>& tokens) {
  const Result<void> appended = table_.Append(run.run, run.attempt, tokens);
  NotifyReaders(run.run);
  if (!appended) {
    LogWarning("run_output_dropped", {{"run", run.run}, {"reason", appended.error().message}});
  }
  return appended.has_value();
}

void RunBuffers::Finish(const RunAttempt& run, const std::string& finish, const Usage& usage) {
  table_.Finish(run.run, run.attempt, finish, usage);
  NotifyReaders(run.run);
}

void RunBuffers::Fail(const RunAttempt& run, const Error& error) {
  table_.Fail(run.run, run.attempt, error);
  NotifyReaders(run.run);
}

Awaitable<void> RunBuffers::Serve(HttpExchange& exchange, RunAttempt run, int64_t offset) {
  const Result<RunTable::ReaderId> reader = table_.Attach(run.run, run.attempt, offset);
  if (!reader) {
    HttpResponse response = ErrorResponse(reader.error());
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  NotifyReaders(run.run);  // Wakes the replaced reader, which closes its connection.
  co_await StreamFrames(exchange, run, reader.value(), offset);
  table_.Detach(run.run, run.attempt, reader.value(), SteadyNow());
}

Awaitable<void> RunBuffers::StreamFrames(HttpExchange& exchange, RunAttempt run,
                                         RunTable::ReaderId reader, int64_t offset) {
  HttpHeaders headers{{"Content-Type", "application/x-ndjson"}};
  bool open = co_await exchange.BeginStream(200, std::move(headers));
  bool waited = false;
  while (open && !exchange.peer_closed()) {
    const Result<std::optional<Frame>> next = table_.Read(run.run, run.attempt, reader);
    if (!next) co_return exchange.Abort();
    if (!next.value() && !waited) {
      co_await WaitForOutput(run.run);
      waited = true;
      continue;
    }
    waited = false;
    const Frame frame = next.value().value_or(MakeHeartbeat(run, offset));
    offset += static_cast<int64_t>(frame.tokens.size());
    open = co_await exchange.WriteChunk(EncodeFrame(frame));
    if (open && EndsRun(frame)) {
      co_await exchange.EndStream();
      co_return;
    }
  }
}

Awaitable<void> RunBuffers::WaitForOutput(std::string run) {
  boost::asio::steady_timer timer(io_);
  timer.expires_after(heartbeat_interval_);
  const WaitTimers::iterator entry = wait_timers_.emplace(run, &timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  wait_timers_.erase(entry);
}

void RunBuffers::NotifyReaders(const std::string& run) {
  const auto [first, last] = wait_timers_.equal_range(run);
  for (auto entry = first; entry != last; ++entry) entry->second->cancel();
}

void RunBuffers::Cancel(const RunAttempt& run) {
  if (table_.Cancel(run.run, run.attempt)) stop_(run);
  NotifyReaders(run.run);
}

void RunBuffers::Expire(TimePoint now) {
  for (const RunAttempt& run : table_.Expire(now)) stop_(run);
}

}  // namespace fuchsiaweir
