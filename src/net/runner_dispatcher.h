#ifndef FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_
#define FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/frame.h"
#include "core/inventory.h"
#include "core/run_message.h"
#include "net/engine_client.h"
#include "net/kernel.h"

namespace fuchsiaweir {

/// Output of one run on this agent. Readers attach at an offset and may attach again.
struct AgentRun {
  explicit AgentRun(boost::asio::io_context& io) : changed(io) {}

  std::string run;
  int64_t attempt = 0;
  int64_t base = 0;  ///< Offset of tokens[0] in the whole output.
  std::vector<std::string> tokens;
  bool done = false;
  std::string finish;
  Usage usage;
  std::optional<Error> error;
  int readers = 0;
  TimePoint unattended_since{};
  boost::asio::steady_timer changed;  ///< Cancelled whenever the run changes.

  void Notify() { changed.cancel(); }
  bool ended() const { return done || error.has_value(); }
};

/// The gate to one model runner: admits runs, drives the engine and buffers the output.
class RunnerDispatcher {
 public:
  RunnerDispatcher(boost::asio::io_context& io, const Runner& runner, const Rules& rules,
                   std::unique_ptr<EngineClient> engine);

  /// Admits the run or refuses it with a true kNotRun. An admitted run starts at once.
  Result<std::shared_ptr<AgentRun>> Admit(RunRequest request, const Model& model);

  /// Returns the run with this id and attempt, or null.
  std::shared_ptr<AgentRun> Find(const std::string& run, int64_t attempt);
  void Cancel(const std::string& run, int64_t attempt);
  /// Forgets ended and unattended runs whose attach window has passed.
  void Expire(TimePoint now);

  int64_t active() const { return active_; }

 private:
  Awaitable<void> Drive(std::shared_ptr<AgentRun> run, RunRequest request);

  boost::asio::io_context& io_;
  Runner runner_;
  Rules rules_;
  std::shared_ptr<EngineClient> engine_;
  std::map<std::string, std::shared_ptr<AgentRun>> runs_;
  int64_t active_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_
