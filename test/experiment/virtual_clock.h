#ifndef FUCHSIAWEIR_EXPERIMENT_VIRTUAL_CLOCK_H_
#define FUCHSIAWEIR_EXPERIMENT_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir::experiment {

/// Event loop on virtual time. Actions scheduled for the same time run in order of scheduling.
class VirtualClock {
 public:
  TimePoint now() const { return now_; }

  void ScheduleAfter(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, sequence_++, std::move(action)});
  }

  void Run() {
    while (!events_.empty()) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
  }

 private:
  struct Event {
    TimePoint time;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(other.time, other.sequence) < std::pair(time, sequence);
    }
  };

  TimePoint now_{};
  uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_VIRTUAL_CLOCK_H_
