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
  kFetch,      ///< A caller waits for the blocks.
  kWriteBack,  ///< Copies blocks to a store for later.
};

/// A transfer over one link.
struct Transfer {
  uint64_t id = 0;  ///< Unique among the waiting transfers of the link.
  std::string team;
  TransferKind kind = TransferKind::kFetch;
  int64_t bytes = 0;
  TimePoint deadline{};  ///< A fetch that has not started by then is useless.
};

struct LinkOptions {
  double nominal_bytes_per_second = 1e9;
  double write_back_share = 0.5;     ///< Part of the capacity unused by fetches, 0 to 1.
  int64_t max_write_back_bytes = 0;  ///< Bound of the waiting write-back.
};

/// What the owner of the link does next.
struct LinkActions {
  std::optional<Transfer> start;
  std::vector<Transfer> dropped;  ///< Will not start; the owner informs whoever waits.
  /// When nothing starts although write-back waits: ask again after this time. Zero otherwise.
  Duration retry_after{0};
};

/// Queue and rate estimate of one link to a store. One transfer runs at a time.
///
/// Fetches go first, by deadline among the teams that are not ahead of their fair share. Write-back
/// uses part of what fetches leave unused.
class LinkSchedule {
 public:
  LinkSchedule(const LinkOptions& options, TimePoint now);

  /// Sets a team's weight (> 0) in the division of the link. The default is 1.
  void SetTeamWeight(const std::string& team, double weight);

  /// Queues a transfer. Returns false for write-back beyond its bound or on a slow link.
  bool Add(const Transfer& transfer, TimePoint now);

  /// Removes a waiting transfer. Returns false when it is not waiting.
  bool Cancel(uint64_t id);

  /// Chooses the transfer to start. Starts nothing while one is running.
  LinkActions Next(TimePoint now);

  /// Reports bytes of the running transfer since the last report.
  void Progress(int64_t bytes, TimePoint now);

  /// Ends the running transfer, whether complete or given up.
  void Finish(TimePoint now);

  /// Estimated bytes per second. It falls while the running transfer is silent, and approaches the
  /// nominal rate while the link is idle, so that a link once slow is tried again.
  double Rate(TimePoint now) const;

  /// Whether the rate is far below nominal.
  bool Slow(TimePoint now) const;

  /// Bytes that a new fetch may have to wait for: waiting fetches and the running transfer.
  int64_t QueuedBytes() const;

  const std::optional<Transfer>& running() const { return running_; }
  int64_t write_back_bytes() const { return write_back_bytes_; }

 private:
  struct TeamQueue {
    double weight = 1;
    double fetched = 0;  ///< Virtual time of fetches: bytes over weight.
    double written = 0;  ///< The same for write-back.
    std::multimap<TimePoint, Transfer> fetches;
    std::deque<Transfer> write_backs;
  };

  void DropExpired(TimePoint now, LinkActions& actions);
  void DropWriteBacks(LinkActions& actions);
  std::optional<Transfer> TakeFetch();
  std::optional<Transfer> TakeWriteBack(LinkActions& actions);
  void AccrueCredit(TimePoint now);
  void Start(const Transfer& transfer, TimePoint now);

  LinkOptions options_;
  std::map<std::string, TeamQueue> teams_;
  int64_t fetch_bytes_ = 0;
  int64_t write_back_bytes_ = 0;
  double fetch_floor_ = 0;    ///< Virtual time of the fetch last started.
  double written_floor_ = 0;  ///< Virtual time of the write-back last started.
  double credit_ = 0;         ///< Bytes of write-back that may start.
  TimePoint credited_;
  std::optional<Transfer> running_;
  int64_t running_done_ = 0;
  double rate_;
  TimePoint rate_time_;  ///< Last progress, start or end of a transfer.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LINK_SCHEDULE_H_
