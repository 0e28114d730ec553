#ifndef FUCHSIAWEIR_NET_ENGINE_MONITOR_H_
#define FUCHSIAWEIR_NET_ENGINE_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/engine_client.h"

namespace fuchsiaweir {

/// Polls the load report of one engine: once a second when idle, more often when busy.
class EngineMonitor : public std::enable_shared_from_this<EngineMonitor> {
 public:
  /// `on_poll` is called after every poll, successful or not.
  using PollCallback = std::function<void(const EngineProbe& probe)>;

  EngineMonitor(boost::asio::io_context& io, std::shared_ptr<EngineClient> engine);

  void Start(PollCallback on_poll);
  /// Stops the polls; `on_poll` is not called again.
  void Close();

  /// Selects the busy poll period. A change to busy polls immediately.
  void SetBusy(bool busy);

  /// Last load report; empty before the first one.
  const std::optional<EngineLoad>& load() const { return load_; }
  /// Time at which the last report was requested. Its content is older than that by at most the
  /// engine's reporting delay.
  TimePoint requested_at() const { return requested_at_; }
  /// Whether the last poll failed to connect to an engine process.
  bool unreachable() const { return unreachable_; }
  /// Incremented when the engine's instance, model or weight version changes.
  uint64_t epoch() const { return epoch_; }

  /// Polls immediately, independently of the period.
  Awaitable<EngineProbe> ProbeNow();

  /// Returns after a failed stream whether the engine process has crashed. `instance` is the
  /// engine's instance at the start of the run.
  Awaitable<bool> CrashedSince(std::string instance);

 private:
  Awaitable<void> PollLoop();
  void ApplyProbe(const EngineProbe& probe, TimePoint requested_at);

  std::shared_ptr<EngineClient> engine_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  PollCallback on_poll_;
  std::optional<EngineLoad> load_;
  TimePoint requested_at_{};
  uint64_t epoch_ = 0;
  bool unreachable_ = false;
  bool busy_ = false;
  bool closed_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENGINE_MONITOR_H_
