#ifndef FUCHSIAWEIR_TEST_SOAK_STORE_RESTORES_H_
#define FUCHSIAWEIR_TEST_SOAK_STORE_RESTORES_H_

#include "process/fleet.h"
#include "soak/call_queue.h"
#include "soak/schedule.h"
#include "soak/store_writes.h"

namespace fuchsiaweir::soak {

/// Plays the steps of restores of the store, one after the other.
class StoreRestores {
 public:
  StoreRestores(testing::Fleet& fleet, StoreWrites& writes, NoteDisturbance note);

  void Play(const Step& step);

 private:
  void Restore(Duration away);
  void WriteAgain(Duration after_return);

  testing::Fleet& fleet_;
  StoreWrites& writes_;
  NoteDisturbance note_;
  TimePoint return_;  ///< Of the store after the last restore; used by the queue's thread.
  CallQueue calls_;
};

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_STORE_RESTORES_H_
