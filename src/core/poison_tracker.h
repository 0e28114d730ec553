#ifndef FUCHSIAWEIR_CORE_POISON_TRACKER_H_
#define FUCHSIAWEIR_CORE_POISON_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fuchsiaweir {

/// Crashes of targets that a request is blamed for. Crash ids name a target instance, so that
/// reports of one crash by several processes count once.
struct CrashRecord {
  std::set<std::string> crashes;
  int64_t last_ms = 0;  ///< Unix time of the last report.

  bool operator==(const CrashRecord&) const = default;
};

/// Crash records by request digest, as kept in the platform and sent to peers.
using CrashRecords = std::map<std::string, CrashRecord>;

/// How a request may be dispatched.
enum class PoisonVerdict {
  kNormal,
  kIsolate,  ///< Alone on a target, so that a second crash has one possible cause.
  kRefuse,   ///< Two targets crashed while running it.
};

/// Bounds of the tracker.
struct PoisonRules {
  int64_t record_lifetime_ms = 3'600'000;
  size_t max_records = 10'000;
};

/// Decides which requests may run again after crashes of their targets.
class PoisonTracker {
 public:
  explicit PoisonTracker(PoisonRules rules) : rules_(rules) {}

  PoisonVerdict Decide(const std::string& digest, int64_t unix_ms) const;

  /// Records a crash of a target that ran these digests. Returns the changed records, which go to
  /// the platform, or to peers while the platform is unavailable.
  CrashRecords RecordCrash(const std::string& crash_id, const std::vector<std::string>& running,
                           int64_t unix_ms);

  /// A suspect that completes is cleared in this process. Returns true when it had a record.
  bool RecordCompletion(const std::string& digest) { return records_.erase(digest) > 0; }

  /// Adds records from the platform or a peer.
  void Merge(const CrashRecords& records, int64_t unix_ms);

  const CrashRecords& records() const { return records_; }

 private:
  void Bound(int64_t unix_ms);

  PoisonRules rules_;
  CrashRecords records_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_POISON_TRACKER_H_
