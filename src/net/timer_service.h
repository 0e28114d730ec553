#ifndef FUCHSIAWEIR_NET_TIMER_SERVICE_H_
#define FUCHSIAWEIR_NET_TIMER_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/component_registry.h"

namespace fuchsiaweir {

/// Calls its subscribers periodically on the I/O thread.
class TimerService : public Component {
 public:
  explicit TimerService(boost::asio::io_context& io);
  ~TimerService() override;

  /// Calls `callback` every `period` from the start of the service on. The first call comes after
  /// a share of the period that depends on the name, so that equal periods do not fall together.
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
