#ifndef FUCHSIAWEIR_CORE_CRASH_SUSPECTS_H_
#define FUCHSIAWEIR_CORE_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// How often a gateway sends each crash report to the others, since messages may be lost.
inline constexpr int kCrashReportSends = 3;

/// A request that was lost in the crash of its runner before its answer began.
struct CrashReport {
  std::string service;  ///< Service of the runner.
  std::string runner;
  std::vector<std::string> traits;  ///< What may have caused the crash; see `RequestTraits`.
  TimePoint sent_at;                ///< When the lost request was sent.
  TimePoint lost_at;
};

/// Returns what the request may have in common with others that crash runners: itself, by its
/// digest, and each part of its prompt that others may have too.
std::vector<std::string> RequestTraits(const std::string& digest, const std::string& model,
                                       const std::vector<std::string>& shared_parts);

/// Finds out which requests, or parts of prompts, crash the runners that answer them.
///
/// Load pattern: many requests, no two alike, share one part that crashes each runner that begins
/// to answer it. All requests at the runner are lost, and most of them are sound. Or equal requests
/// come at all gateways and crash all runners of a small service together, again each time that the
/// runners return.
///
/// A part is refused after crashes one after the other, each of a request that was sent after the
/// crash before, while no request with the part was answered and others were. Crashes at the same
/// time count once, since a failure of several hosts or of the network looks the same.
///
/// Equal requests are refused after as many crashed runners, also at the same time and without
/// answers to others: it is unlikely that a sound one was at each of these runners. The first
/// trial comes sooner then, since there is less evidence.
class CrashSuspects {
 public:
  /// Processes a crash report, which may come several times. Returns the traits for which it
  /// counts.
  std::vector<std::string> OnCrash(const CrashReport& report, TimePoint now);
  /// Records that an answer began at `began_at` and went on, which clears its request's traits.
  /// Returns the cleared traits.
  std::vector<std::string> OnAnswer(const std::string& service,
                                    const std::vector<std::string>& traits, TimePoint began_at);
  /// Clears traits of a request whose answer began at `answered_at`, at this or another gateway.
  /// Returns those that had stood in a crash.
  std::vector<std::string> Clear(const std::vector<std::string>& traits, TimePoint answered_at);

  /// Decides whether the gateway `self` takes a request with these traits. Returns until when it is
  /// refused, or nothing. After each pause, one request with the trait is taken on trial: the
  /// `gateways` become eligible one after the other, so that a deadly trait that comes at all
  /// gateways at once crashes about one runner.
  std::optional<TimePoint> Admit(const std::vector<std::string>& traits, const std::string& self,
                                 const std::vector<std::string>& gateways, TimePoint now);
  /// Returns which of the traits are suspected, so that a request with them is on trial.
  std::vector<std::string> Suspected(const std::vector<std::string>& traits) const;
  /// Records that another gateway has sent a request with these traits on trial.
  void OnTrial(const std::vector<std::string>& traits, TimePoint now);
  /// Returns the end of the longest pause of one of these traits, or nothing if none is paused.
  std::optional<TimePoint> RefusedUntil(const std::vector<std::string>& traits,
                                        TimePoint now) const;
  /// Whether a lost request with these traits may be sent to another runner. It may not while one
  /// of them is on trial after its refusal.
  bool MayRetry(const std::vector<std::string>& traits) const;
  /// Number of counted crashes of a trait: for equal requests, the runners that crashed.
  int64_t Crashes(const std::string& trait) const;
  /// Number of answers to other requests of the trait's service since its first crash.
  int64_t OtherAnswers(const std::string& trait) const;
  /// Number of traits that stood in a crash and were not cleared since.
  int64_t size() const;

 private:
  struct Record {
    std::string service;
    bool whole_request = false;  ///< The trait is a request, not a part of its prompt.
    int64_t crashes = 0;         ///< Crashes of requests that were sent after the crash before.
    int64_t crashed_runners = 0;
    std::map<std::string, TimePoint> lost_at;  ///< Last reported crash of each runner.
    int64_t failed_trials = 0;                 ///< Crashes of a request that was already suspected.
    TimePoint last_crash_at;                   ///< Time of the last counted crash.
    TimePoint cleared_at;                      ///< Earlier crashes do not count.
    TimePoint trial_until;                     ///< Until then no other request is taken on trial.
    int64_t answers_before_first = 0;          ///< Answers of the service until the first crash.
  };

  /// Returns whether the crash counts.
  bool CountCrash(Record& record, const CrashReport& report);
  /// Whether other requests were answered since the first crash, so that the runners are sound.
  bool RunnersAreSound(const Record& record) const;
  bool Suspected(const Record& record) const;
  /// Time from the last crash of a suspected trait until a request with it is taken on trial.
  Duration Pause(const Record& record) const;
  int64_t Answers(const std::string& service) const;
  void EvictRecords(TimePoint now);

  std::map<std::string, Record> records_;
  std::map<std::string, int64_t> answers_;  ///< Answers that began and went on, by service.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CRASH_SUSPECTS_H_
