#ifndef FUCHSIAWEIR_TEST_SOAK_STORE_WRITES_H_
#define FUCHSIAWEIR_TEST_SOAK_STORE_WRITES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "process/fleet.h"
#include "soak/call_queue.h"
#include "soak/caller.h"
#include "soak/verdict.h"

namespace fuchsiaweir::soak {

using NoteDisturbance = std::function<void(const Disturbance&)>;

/// Writes to the store what the operator and the runners write, in the order of the calls, and
/// writes it again after a restore of the store. Each desired state adds an API key, which the
/// later ones keep. May be used from any thread.
class StoreWrites {
 public:
  /// `fleet` lists `runners` runners as ready when it starts.
  StoreWrites(testing::Fleet& fleet, int runners, NoteDisturbance note);

  void PutDesiredState(int further_routes);
  void NameWeights();
  void SetEvacuated(bool evacuated);
  void ListRunner(const std::string& runner, const std::string& state, int64_t started_ms);
  void DeleteRunner(const std::string& runner);
  /// Records that a runner starts, after which it need no longer be treated as draining.
  void OnRunnerStart(const std::string& runner);
  /// Writes all of the above again in its newest form; deletes again what was deleted.
  void WriteAgain();

  /// Returns the additions of the newest desired state that had to be in force at `now`.
  std::optional<Additions> NewestAdditions(TimePoint now) const;
  std::vector<StateRecord> states() const;
  std::vector<DrainRecord> drains() const;

 private:
  struct Entry {
    std::string state;  ///< Empty: deleted.
    int64_t started_ms = 0;
  };

  /// Repeats a write until the store has confirmed it.
  static void Repeat(const std::function<bool()>& write);
  bool PutEvacuation();
  bool PutWeights();
  bool PutEntry(const std::string& runner);
  void EndDrain(const std::string& runner);

  testing::Fleet& fleet_;
  NoteDisturbance note_;
  // Newest contents, which only the queue's thread uses.
  int64_t weights_ = 1;
  bool evacuated_ = false;
  std::map<std::string, Entry> entries_;
  mutable std::mutex mutex_;  ///< Guards the records.
  std::vector<StateRecord> states_;
  std::vector<DrainRecord> drains_;
  CallQueue calls_;
};

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_STORE_WRITES_H_
