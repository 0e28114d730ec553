#include "soak/store_restores.h"

#include <thread>
#include <utility>

namespace fuchsiaweir::soak {
namespace {

/// A call to a store that is held may time out, and takes effect once the store is released.
constexpr int kMaxProbes = 10;

}  // namespace

StoreRestores::StoreRestores(testing::Fleet& fleet, StoreWrites& writes, NoteDisturbance note)
    : fleet_(fleet), writes_(writes), note_(std::move(note)) {}

void StoreRestores::Play(const Step& step) {
  calls_.Add([this, kind = step.kind, amount = step.amount]() {
    if (kind == StepKind::kCopyStore) fleet_.CopyStore();
    if (kind == StepKind::kRestoreStore) Restore(Millis(amount));
    if (kind == StepKind::kSkipRevisions) fleet_.SkipStoreRevisions(amount);
    if (kind == StepKind::kWriteAgain) WriteAgain(Millis(amount));
  });
}

void StoreRestores::Restore(Duration away) {
  const TimePoint begin = SteadyNow();
  bool confirmed = fleet_.RestoreStore(away);
  for (int i = 0; i < kMaxProbes && !confirmed; ++i) confirmed = fleet_.InjectFault("store", "{}");
  return_ = SteadyNow() + away;
  note_({"store", Cause::kFault, begin, return_});
}

void StoreRestores::WriteAgain(Duration after_return) {
  std::this_thread::sleep_until(return_ + after_return);
  writes_.WriteAgain();
}

}  // namespace fuchsiaweir::soak
