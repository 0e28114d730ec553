#ifndef FUCHSIAWEIR_GATEWAY_RUNNER_CHANNEL_H_
#define FUCHSIAWEIR_GATEWAY_RUNNER_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/runner_registry.h"
#include "net/awaitable.h"
#include "net/http_types.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {

/// Timeout of a new connection to a runner. Shorter than the 1 s after which TCP retransmits a lost
/// SYN, because another runner can respond sooner.
constexpr Duration kRunnerConnectTimeout = Millis(250);

/// Header of a runner's response.
struct RunnerHeader {
  platform::RunnerAnswer answer;
  HttpHeaders fields;
};

/// A connection to a runner that carries one request at a time.
class RunnerChannel {
 public:
  enum class Read {
    kData,    ///< Bytes were appended.
    kEnd,     ///< The response is complete.
    kBroken,  ///< The connection ended early, or the response is malformed.
  };

  explicit RunnerChannel(boost::asio::ip::tcp::socket socket);
  ~RunnerChannel();

  /// Sets the deadline of all later operations to `timeout` from now.
  void ExpireAfter(Duration timeout);
  /// Sends the message. Returns false if it may have been sent only in part.
  Awaitable<bool> Send(std::string header, const std::string& body);
  /// Reads the header of the response with this request id. Late responses to earlier requests on
  /// the connection are discarded.
  Awaitable<bool> ReadHeader(const std::string& request_id, RunnerHeader& header);
  /// Appends the next received bytes of the body to `body`. The result is kBroken if `body` has
  /// grown beyond what a gateway holds of one response.
  Awaitable<Read> ReadBody(std::string& body);
  /// Closes the connection; pending operations fail. The runner cancels the request.
  void Close();
  /// Whether the connection can carry another request: the response is complete, the runner keeps
  /// the connection open, and nothing arrived after the response.
  bool Reusable() const;
  /// Whether the runner has refused a request with this id on the connection. A faulty runner may
  /// send the refusal once more, and it would be taken for the answer to the request's next
  /// attempt.
  bool HasRefused(const std::string& request_id) const;
  /// Whether the connection has input or its end to read.
  bool HasInput() const;
  /// Bytes that were sent and that the runner's host has not acknowledged; -1 if that is not known.
  int64_t UnacknowledgedBytes() const;
  /// Reason of the last failure.
  const std::string& failure() const { return failure_; }
  /// Idle timeout that the runner announced; zero if none.
  Duration keep_alive() const { return keep_alive_; }

 private:
  /// Reads the rest of a response that nothing waits for. Returns false if it does not end.
  Awaitable<bool> DropBody();

  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::string failure_;
  Duration keep_alive_{0};
  /// Hashes of the ids of requests that the runner has refused. Callers choose how long an id is.
  std::set<uint64_t> refused_;
};

/// Pool of connections to runners.
class RunnerChannelPool {
 public:
  explicit RunnerChannelPool(boost::asio::io_context& io) : io_(io) {}

  struct Acquired {
    std::unique_ptr<RunnerChannel> channel;  ///< Null if no connection could be opened.
    bool reused = false;
    std::string failure;                                    ///< Why no connection could be opened.
    AttemptOutcome outcome = AttemptOutcome::kUnreachable;  ///< What the failure shows.
  };

  /// Returns an idle connection, or opens one. A request that is not repeatable only reuses a
  /// connection that was in use just before, since a runner may close an idle connection while a
  /// request is being sent.
  /// No connection on which the runner has refused this request id is used.
  Awaitable<Acquired> Acquire(Endpoint runner, std::string request_id, bool repeatable,
                              Duration timeout);
  /// Returns the connection to the pool if it is reusable.
  void Release(const Endpoint& runner, std::unique_ptr<RunnerChannel> channel);
  /// Whether an idle connection to the runner is open at both ends.
  bool HasOpen(const Endpoint& runner) const;
  /// Closes the connections to the runner that have been idle since before `time`.
  void CloseIdleSince(const Endpoint& runner, TimePoint time);
  /// Closes connections that reached their idle timeout.
  void CloseExpired(TimePoint now);

  /// Number of connections opened so far.
  int64_t opened() const { return opened_; }
  size_t idle() const;

 private:
  struct IdleChannel {
    std::unique_ptr<RunnerChannel> channel;
    TimePoint since;
  };

  boost::asio::io_context& io_;
  std::map<Endpoint, std::list<IdleChannel>> idle_;  ///< Least recently used first.
  int64_t opened_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_RUNNER_CHANNEL_H_
