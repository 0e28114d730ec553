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

/// Follows one engine by load polls: once a second when idle, more often while it has work.
class EngineMonitor : public std::enable_shared_from_this<EngineMonitor> {
 public:
  /// `on_report` is called after every poll, successful or not.
  using OnReport = std::function<void(const EngineProbe& probe)>;

  EngineMonitor(boost::asio::io_context& io, std::shared_ptr<EngineClient> engine);

  void Start(OnReport on_report);
  /// Ends the polls; `on_report` is not called again.
  void Close();

  /// Polls at the short period while `busy`. Becoming busy polls at once.
  void SetBusy(bool busy);

  /// The last report; nothing until the first one.
  const std::optional<EngineLoad>& load() const { return load_; }
  /// When the last report was asked for. Its content may be older by the engine's lag, but not
  /// older than the question.
  TimePoint asked() const { return asked_; }
  /// Whether the last poll found no engine process.
  bool unreachable() const { return unreachable_; }
  /// Changes with the engine's instance, model or weight version.
  uint64_t epoch() const { return epoch_; }

  /// Polls now, outside the period.
  Awaitable<EngineProbe> ProbeNow();

  /// Decides after a stream broke whether the engine ended while it ran it. `instance` is the
  /// engine's instance when the run began.
  Awaitable<bool> CrashedSince(std::string instance);

 private:
  Awaitable<void> PollLoop();
  void Note(const EngineProbe& probe, TimePoint asked);

  std::shared_ptr<EngineClient> engine_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  OnReport on_report_;
  std::optional<EngineLoad> load_;
  TimePoint asked_{};
  uint64_t epoch_ = 0;
  bool unreachable_ = false;
  bool busy_ = false;
  bool closed_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENGINE_MONITOR_H_
