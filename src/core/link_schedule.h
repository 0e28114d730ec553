#ifndef FUCHSIAWEIR_CORE_LINK_SCHEDULE_H_
#define FUCHSIAWEIR_CORE_LINK_SCHEDULE_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

enum class TransferKind {
  kFetch,      ///< Reads blocks that a request waits for.
  kWriteBack,  ///< Copies blocks to a store in the background.
};

/// A transfer over one link.
struct Transfer {
  uint64_t id = 0;  ///< Unique among the queued transfers of the link.
  std::string team;
  TransferKind kind = TransferKind::kFetch;
  int64_t bytes = 0;
  TimePoint deadline{};  ///< A fetch that has not started by then is dropped.
};

struct LinkOptions {
  double nominal_bytes_per_second = 1e9;
  double write_back_share = 0.5;     ///< Fraction of the capacity left by fetches, 0 to 1.
  int64_t max_write_back_bytes = 0;  ///< Maximum bytes of queued write-back.
};

/// Scheduling decision for the owner of the link.
struct LinkActions {
  std::optional<Transfer> start;
  std::vector<Transfer> dropped;  ///< Removed from the queue; the owner notifies their callers.
  /// Delay before the next call when queued write-back lacks credit to start; zero otherwise.
  Duration retry_after{0};
};

/// Transfer queue and throughput estimate of one link to a store. One transfer runs at a time.
///
/// Fetches have priority, earliest deadline first among the teams whose lead over the others' fair
/// shares is bounded. Write-back uses a fraction of the capacity that fetches leave.
class LinkSchedule {
 public:
  LinkSchedule(const LinkOptions& options, TimePoint now);

  /// Sets a team's weight (> 0) in the fair sharing of the link. The default is 1.
  void SetTeamWeight(const std::string& team, double weight);

  /// Queues a transfer. Returns false for write-back above `max_write_back_bytes` or on a slow
  /// link.
  bool Add(const Transfer& transfer, TimePoint now);

  /// Removes a queued transfer. Returns false when it is not queued.
  bool Cancel(uint64_t id);

  /// Selects the next transfer and marks it as running. Starts nothing while one is running.
  LinkActions Next(TimePoint now);

  /// Records that the running transfer moved `bytes` since the last call.
  void Progress(int64_t bytes, TimePoint now);

  /// Ends the running transfer, whether completed or aborted.
  void Finish(TimePoint now);

  /// Estimated bytes per second. Decays while the running transfer makes no progress, and returns
  /// to the nominal rate while the link is idle, so that a link that was slow is used again.
  double Rate(TimePoint now) const;

  /// Whether the estimated rate is below a quarter of the nominal rate.
  bool IsSlow(TimePoint now) const;

  /// Bytes ahead of a new fetch: queued fetches and the rest of the running transfer.
  int64_t QueuedBytes() const;

  const std::optional<Transfer>& running() const { return running_; }
  int64_t write_back_bytes() const { return write_back_bytes_; }

 private:
  struct TeamQueue {
    double weight = 1;
    double fetch_virtual_time = 0;       ///< Virtual time of fetches: bytes started over weight.
    double write_back_virtual_time = 0;  ///< Virtual time of write-back.
    std::multimap<TimePoint, Transfer> fetches;
    std::deque<Transfer> write_backs;
  };

  void DropExpired(TimePoint now, LinkActions& actions);
  void DropWriteBacks(LinkActions& actions);
  std::optional<Transfer> PopFetch();
  std::optional<Transfer> PopWriteBack(LinkActions& actions);
  void AccrueCredit(TimePoint now);
  void Start(const Transfer& transfer, TimePoint now);

  LinkOptions options_;
  std::map<std::string, TeamQueue> teams_;
  int64_t queued_fetch_bytes_ = 0;
  int64_t write_back_bytes_ = 0;
  double fetch_virtual_time_ = 0;       ///< Virtual time of the fetch last started.
  double write_back_virtual_time_ = 0;  ///< Virtual time of the write-back last started.
  double credit_ = 0;  ///< Bytes of write-back that may start; negative after a large block.
  TimePoint credit_updated_at_;
  std::optional<Transfer> running_;
  int64_t running_bytes_done_ = 0;
  double rate_;
  TimePoint rate_updated_at_;  ///< Time of the last update of `rate_`.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LINK_SCHEDULE_H_
