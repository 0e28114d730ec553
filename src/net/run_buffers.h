#ifndef FUCHSIAWEIR_NET_RUN_BUFFERS_H_
#define FUCHSIAWEIR_NET_RUN_BUFFERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/inventory.h"
#include "core/run_table.h"
#include "net/awaitable.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// The agent's run output buffers and the connections that read from them.
class RunBuffers {
 public:
  /// Stops a run whose output is no longer needed. The run may be unknown or have ended.
  using StopRun = std::function<void(const RunAttempt&)>;

  RunBuffers(boost::asio::io_context& io, RunTableLimits limits, StopRun stop);

  /// Adds a run whose output starts at `offset` and stops its earlier attempt, if any. Returns an
  /// error with run state not_run if the run is refused.
  std::optional<Error> Open(const RunAttempt& run, int64_t offset);
  /// Removes a run that was refused before a reader attached.
  void Discard(const RunAttempt& run);

  /// Appends engine output. Returns false if the engine must stop the run.
  bool Append(const RunAttempt& run, const std::vector<std::string>& tokens);
  void Finish(const RunAttempt& run, const std::string& finish, const Usage& usage);
  void Fail(const RunAttempt& run, const Error& error);

  /// Streams the run's frames from `offset` on, until the run ends, the reader disconnects or
  /// another reader replaces it. Sends a heartbeat frame after each interval without output.
  Awaitable<void> Serve(HttpExchange& exchange, RunAttempt run, int64_t offset);

  /// Sets the attach window, and the heartbeat interval from the progress deadline.
  void Configure(const Rules& rules);

  /// Removes the run and stops it.
  void Cancel(const RunAttempt& run);
  /// Removes and stops the runs whose attach window has expired.
  void Expire(TimePoint now);

  /// Number of runs with output that has not been delivered.
  size_t undelivered() const { return table_.undelivered(); }

 private:
  using WaitTimers = std::multimap<std::string, boost::asio::steady_timer*>;

  Awaitable<void> StreamFrames(HttpExchange& exchange, RunAttempt run, RunTable::ReaderId reader,
                               int64_t offset);
  Awaitable<void> WaitForOutput(std::string run);
  void NotifyReaders(const std::string& run);

  boost::asio::io_context& io_;
  RunTable table_;
  StopRun stop_;
  Duration heartbeat_interval_{Seconds(1)};
  WaitTimers wait_timers_;  ///< Timers of readers without new output, by run.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RUN_BUFFERS_H_
