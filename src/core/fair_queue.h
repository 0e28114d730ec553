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
  int64_t weight = 1;    ///< Weight of the team's share.
  int64_t priority = 1;  ///< 0 (background) to 2 (urgent); other values are clamped.
  int64_t tokens = 1;    ///< Prompt tokens to compute.
  TimePoint deadline;    ///< Deadline of the first token.
};

/// Limits of the queue of one runner.
struct FairQueueLimits {
  size_t max_items = 256;
  int64_t tokens_per_second = 8000;  ///< Prefill rate of the runner.
};

/// Bounded queue of one runner. Start-time fair queueing between flows, each of one team, priority
/// and size class; earliest deadline first within a flow.
class FairQueue {
 public:
  explicit FairQueue(const FairQueueLimits& limits) : limits_(limits) {}

  /// Queues the request, or refuses it as not_run if it cannot meet its deadline or the queue is
  /// full. In a full queue, a request of a team that uses less of its share displaces another
  /// team's.
  std::optional<Error> Push(QueuedRequest request, TimePoint now);

  /// Returns the request to run next, or nothing. Requests that can no longer meet their deadline
  /// move to `TakeRefused`. Without `allow_long`, requests with a long prefill stay queued.
  std::optional<QueuedRequest> Pop(TimePoint now, bool allow_long = true);

  /// Returns the requests that were displaced or can no longer meet their deadline; the caller
  /// answers them as not_run.
  std::vector<QueuedRequest> TakeRefused(TimePoint now);

  /// Removes a cancelled request. Returns whether it was queued.
  bool Remove(const std::string& id);

  /// Returns the estimated time until the runner has prefilled the request's prompt.
  Duration EstimatedTime(const QueuedRequest& request) const;

  /// Changes the limits; requests beyond a lower limit stay queued.
  void SetLimits(const FairQueueLimits& limits) { limits_ = limits; }

  /// Returns the number of requests that start before this one, at its flow's share of the runner.
  int64_t ItemsAhead(const QueuedRequest& request) const;

  size_t size() const { return size_; }
  int64_t queued_tokens() const { return tokens_; }

  /// Returns whether a prefill of this many tokens is in the size class of long ones.
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

  /// Queued requests and prompt tokens before a request, at its flow's share of the runner.
  struct Backlog {
    double items = 0;
    double tokens = 0;
  };

  static FlowKey KeyOf(const QueuedRequest& request);
  Backlog BacklogBefore(const QueuedRequest& request) const;
  Duration PrefillTime(double tokens) const;
  void RefuseLate(TimePoint now);
  bool DisplaceFor(const QueuedRequest& request);
  QueuedRequest Extract(Flow& flow, std::multimap<TimePoint, QueuedRequest>::iterator item);
  void RemoveIdleFlows();

  FairQueueLimits limits_;
  Flows flows_;
  std::vector<QueuedRequest> refused_;
  double virtual_time_ = 0;
  size_t size_ = 0;
  int64_t tokens_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FAIR_QUEUE_H_
