#ifndef FUCHSIAWEIR_NET_TIMER_SERVICE_H_
#define FUCHSIAWEIR_NET_TIMER_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/component_registry.h"

namespace fuchsiaweir {

/// Runs periodic callbacks on the I/O thread.
class TimerService : public Component {
 public:
  explicit TimerService(boost::asio::io_context& io);
  ~TimerService() override;

  /// Calls `callback` every `period` once the service has started. The first call after the start
  /// comes after a fraction of the period that is derived from the name, so that callbacks with
  /// equal periods do not all run at the same time. A callback added later is first called after
  /// one period.
  void Subscribe(const std::string& name, Duration period,
                 std::function<void(TimePoint now)> callback);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  struct Subscription;
  void Schedule(Subscription& subscription, Duration delay);

  boost::asio::io_context& io_;
  std::vector<std::unique_ptr<Subscription>> subscriptions_;
  bool started_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_TIMER_SERVICE_H_
