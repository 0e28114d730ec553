#ifndef FUCHSIAWEIR_TEST_SOAK_CALL_QUEUE_H_
#define FUCHSIAWEIR_TEST_SOAK_CALL_QUEUE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace fuchsiaweir::soak {

/// Makes calls one after the other on a thread of its own, since they wait for a response.
class CallQueue {
 public:
  CallQueue();
  ~CallQueue();
  void Add(std::function<void()> call);

 private:
  std::mutex mutex_;
  std::condition_variable added_;
  std::deque<std::function<void()>> calls_;
  bool stopped_ = false;
  std::jthread thread_;
};

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_CALL_QUEUE_H_
