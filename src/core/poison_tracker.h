#ifndef FUCHSIAWEIR_CORE_POISON_TRACKER_H_
#define FUCHSIAWEIR_CORE_POISON_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fuchsiaweir {

/// Target crashes attributed to a request. A crash id identifies a target instance, so that reports
/// of the same crash from several processes count once.
struct CrashRecord {
  std::set<std::string> crashes;
  int64_t last_ms = 0;  ///< Unix time of the last report.

  bool operator==(const CrashRecord&) const = default;
};

/// Crash records by request digest, as stored in the platform and sent to peers.
using CrashRecords = std::map<std::string, CrashRecord>;

/// Whether and how a request may be dispatched.
enum class PoisonVerdict {
  kNormal,
  kIsolate,  ///< Run alone on a target, so that a further crash has only one possible cause.
  kRefuse,   ///< Two targets crashed while they ran it.
};

/// Limits of the tracker.
struct PoisonRules {
  int64_t record_lifetime_ms = 3'600'000;
  size_t max_records = 10'000;
};

/// Decides which requests may run again after target crashes.
class PoisonTracker {
 public:
  explicit PoisonTracker(PoisonRules rules) : rules_(rules) {}

  PoisonVerdict Decide(const std::string& digest, int64_t unix_ms) const;

  /// Records a crash of a target that was running the requests of these digests. Returns the
  /// changed records, to be stored in the platform, or sent to peers while the platform is
  /// unavailable.
  CrashRecords RecordCrash(const std::string& crash_id, const std::vector<std::string>& running,
                           int64_t unix_ms);

  /// Clears a request that has completed, in this process only. Returns whether it had a record.
  bool RecordCompletion(const std::string& digest) { return records_.erase(digest) > 0; }

  /// Merges records from the platform or a peer.
  void Merge(const CrashRecords& records, int64_t unix_ms);

  const CrashRecords& records() const { return records_; }

 private:
  void EvictRecords(int64_t unix_ms);

  PoisonRules rules_;
  CrashRecords records_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_POISON_TRACKER_H_
