#include "soak/call_queue.h"

#include <utility>

namespace fuchsiaweir::soak {

CallQueue::CallQueue()
    : thread_([this]() {
        std::unique_lock lock(mutex_);
        while (true) {
          added_.wait(lock, [this]() { return stopped_ || !calls_.empty(); });
          if (calls_.empty()) return;
          const std::function<void()> call = std::move(calls_.front());
          calls_.pop_front();
          lock.unlock();
          call();
          lock.lock();
        }
      }) {}

CallQueue::~CallQueue() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  added_.notify_all();
}

void CallQueue::Add(std::function<void()> call) {
  const std::lock_guard lock(mutex_);
  calls_.push_back(std::move(call));
  added_.notify_all();
}

}  // namespace fuchsiaweir::soak
