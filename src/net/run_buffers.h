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

/// The agent's output buffers and the connections that read them.
class RunBuffers {
 public:
  /// `stop` ends a run that nobody waits for any more; it may be unknown or have ended.
  using StopRun = std::function<void(const RunAttempt&)>;

  RunBuffers(boost::asio::io_context& io, RunTableLimits limits, StopRun stop);

  /// Adds a run whose output starts at `offset` and stops an earlier attempt of it. Returns the
  /// refusal, with run state not_run.
  std::optional<Error> Open(const RunAttempt& run, int64_t offset);
  /// Removes a run that was refused before it had a reader.
  void Discard(const RunAttempt& run);

  /// Appends engine output. Returns false when the engine must stop the run.
  bool Append(const RunAttempt& run, const std::vector<std::string>& tokens);
  void Finish(const RunAttempt& run, const std::string& finish, const Usage& usage);
  void Fail(const RunAttempt& run, const Error& error);

  /// Answers an exchange with the run's frames from `offset` on, until the run ends, the reader
  /// leaves or another reader takes its place. Heartbeat frames fill pauses.
  Awaitable<void> Serve(HttpExchange& exchange, RunAttempt run, int64_t offset);

  /// Takes over the attach window and the progress deadline, which heartbeats must stay below.
  void Configure(const Rules& rules);

  /// Removes the run and stops it.
  void Cancel(const RunAttempt& run);
  /// Removes and stops the runs whose attach window has passed.
  void Expire(TimePoint now);

  /// Runs that still owe their callers something.
  size_t undelivered() const { return table_.undelivered(); }

 private:
  using Waiting = std::multimap<std::string, boost::asio::steady_timer*>;

  Awaitable<void> Relay(HttpExchange& exchange, RunAttempt run, RunTable::ReaderId reader,
                        int64_t offset);
  Awaitable<void> WaitForNews(std::string run);
  void Notify(const std::string& run);

  boost::asio::io_context& io_;
  RunTable table_;
  StopRun stop_;
  Duration heartbeat_{Seconds(1)};
  Waiting waiting_;  ///< Timers of the readers that wait for news, by run.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RUN_BUFFERS_H_
