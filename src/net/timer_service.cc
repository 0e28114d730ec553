#include "net/timer_service.h"

#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// Number of offsets within a period that first calls are spread over.
constexpr int64_t kOffsets = 16;

}  // namespace

struct TimerService::Subscription {
  std::string name;
  Duration period;
  std::function<void(TimePoint)> callback;
  boost::asio::steady_timer timer;
};

TimerService::TimerService(boost::asio::io_context& io) : io_(io) {}
TimerService::~TimerService() = default;

void TimerService::Subscribe(const std::string& name, Duration period,
                             std::function<void(TimePoint)> callback) {
  subscriptions_.push_back(std::make_unique<Subscription>(
      Subscription{name, period, std::move(callback), boost::asio::steady_timer(io_)}));
  if (started_) Schedule(*subscriptions_.back(), period);
}

void TimerService::Start() {
  started_ = true;
  for (const auto& subscription : subscriptions_) {
    const auto offset =
        static_cast<int64_t>(std::hash<std::string>{}(subscription->name) % kOffsets + 1);
    Schedule(*subscription, subscription->period * offset / kOffsets);
  }
}

void TimerService::Schedule(Subscription& subscription, Duration delay) {
  subscription.timer.expires_after(delay);
  subscription.timer.async_wait([this, &subscription](const boost::system::error_code& failure) {
    if (failure || !started_) return;
    try {
      subscription.callback(SteadyNow());
    } catch (const std::exception& e) {
      LogError("timer_failed", {{"timer", subscription.name}, {"reason", e.what()}});
    }
    Schedule(subscription, subscription.period);
  });
}

Awaitable<void> TimerService::Stop() {
  started_ = false;
  for (const auto& subscription : subscriptions_) subscription->timer.cancel();
  co_return;
}

}  // namespace fuchsiaweir
