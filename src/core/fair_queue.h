#ifndef FUCHSIAWEIR_CORE_FAIR_QUEUE_H_
#define FUCHSIAWEIR_CORE_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// A request that waits for a runner.
struct QueuedRequest {
  std::string id;
  std::string team;
  int64_t weight = 1;    ///< The team's share.
  int64_t priority = 1;  ///< 0 (background) to 2 (urgent); other values are clamped.
  int64_t tokens = 1;    ///< Prompt tokens to compute.
  TimePoint deadline;    ///< Latest useful time of the first token.
};

/// Bounds of the queue in front of one runner.
struct FairQueueLimits {
  size_t max_items = 256;
  int64_t tokens_per_second = 8000;  ///< Prefill speed of the runner.
};

/// Bounded queue in front of one runner. Flows of one team, priority and size class share the
/// runner by start-time fair queueing; within a flow the earliest deadline goes first.
class FairQueue {
 public:
  explicit FairQueue(const FairQueueLimits& limits) : limits_(limits) {}

  /// Queues the work, or refuses it as not_run when it cannot meet its deadline or there is no
  /// room. A full queue takes the work of a team below its share and displaces another team's.
  std::optional<Error> Push(QueuedRequest work, TimePoint now);

  /// Returns the work to run next, or nothing. Work that became late moves to `TakeRefused`.
  /// `allow_long` is false while long prefills hold as many slots as they may.
  std::optional<QueuedRequest> Pop(TimePoint now, bool allow_long = true);

  /// Returns work that was displaced or became late; the caller answers it as not_run.
  std::vector<QueuedRequest> TakeRefused(TimePoint now);

  /// Removes work whose caller left. Returns whether it was queued.
  bool Remove(const std::string& id);

  /// Estimated time until the runner has computed the work's prompt.
  Duration EstimatedTime(const QueuedRequest& work) const;

  /// Changes the bounds; queued work above a lower bound stays.
  void SetLimits(const FairQueueLimits& limits) { limits_ = limits; }

  /// Requests that start before the work, at its flow's share of the runner.
  int64_t ItemsAhead(const QueuedRequest& work) const;

  size_t size() const { return size_; }
  int64_t queued_tokens() const { return tokens_; }

  /// Whether work of this many prompt tokens counts as long.
  static bool IsLong(int64_t tokens);

 private:
  using FlowKey = std::tuple<std::string, int64_t, bool>;  ///< Team, priority, long.
  struct Flow {
    std::multimap<TimePoint, QueuedRequest> items;  ///< By deadline; equal deadlines by arrival.
    double start = 0;   ///< Virtual time at which the flow's next item starts.
    double weight = 1;  ///< Team weight times the factor of the priority.
    int64_t tokens = 0;
  };
  using Flows = std::map<FlowKey, Flow>;

  /// What is queued before some work, at its flow's share of the runner.
  struct Ahead {
    double items = 0;
    double tokens = 0;
  };

  static FlowKey KeyOf(const QueuedRequest& work);
  Ahead AheadOf(const QueuedRequest& work) const;
  Duration PrefillTime(double tokens) const;
  void MoveLate(TimePoint now);
  bool DisplaceFor(const QueuedRequest& work);
  QueuedRequest Extract(Flow& flow, std::multimap<TimePoint, QueuedRequest>::iterator item);
  void DropIdleFlows();

  FairQueueLimits limits_;
  Flows flows_;
  std::vector<QueuedRequest> refused_;
  double virtual_time_ = 0;
  size_t size_ = 0;
  int64_t tokens_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FAIR_QUEUE_H_
