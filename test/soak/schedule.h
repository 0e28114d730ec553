#ifndef FUCHSIAWEIR_TEST_SOAK_SCHEDULE_H_
#define FUCHSIAWEIR_TEST_SOAK_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaweir::soak {

struct SoakOptions {
  uint64_t seed = 1;
  int seconds = 30;
  int gateways = 0;  ///< 0: drawn by the seed, as are the next two.
  int runners = 0;
  int clients = 0;
  int cap_ms = -1;  ///< Processor time of each daemon in each 100 ms; 0: no cap; -1: drawn.
};

enum class StepKind {
  kStop,           ///< SIGTERM, and a start `amount` ms after the end.
  kStopTwice,      ///< SIGTERM, and a second one `amount` ms later.
  kReloadInStop,   ///< SIGTERM, and SIGHUP `amount` ms later.
  kReloadAtStart,  ///< SIGTERM, and SIGHUP `amount` ms after the next start.
  kReload,         ///< SIGHUP.
  kSettings,       ///< Changed settings, with SIGHUP if `amount` is even.
  kCutSettings,    ///< Settings that break off, for a short time, with SIGHUP.
  kDesiredState,   ///< A new desired state with `amount` further routes.
  kWeights,        ///< New weights.
  kDrain,          ///< A runner is listed as draining for `amount` ms.
  kEvacuate,       ///< The data centre is evacuated for `amount` ms.
  kKill,           ///< SIGKILL, and a start `amount` ms later.
  kStall,          ///< SIGSTOP for `amount` ms.
  kThrottle,       ///< SIGSTOP for all but 13 of each 100 ms, for `amount` ms.
  kLeave,          ///< A runner drains, ends and comes back after `amount` ms.
  kRunnerFault,    ///< The fault `detail` of a runner, for `amount` ms.
  kReset,          ///< All connections to a runner are reset.
  kStoreFault,     ///< The fault `detail` of the store, for `amount` ms.
  kCopyStore,      ///< The store copies its contents.
  kRestoreStore,   ///< The store goes away for `amount` ms and comes back with the copy.
  kSkipRevisions,  ///< The store uses up `amount` revisions.
  kWriteAgain,     ///< What was written is written again, `amount` ms after the store's return.
};

struct Step {
  int64_t at_ms = 0;
  StepKind kind = StepKind::kStop;
  std::string process;
  int64_t amount = 0;
  std::string detail;
};

/// Draws the sizes that the options leave open, by the seed.
SoakOptions DrawSizes(SoakOptions options);

/// Draws the steps of a seed, sorted by time; the same for the same options.
std::vector<Step> DrawSchedule(const SoakOptions& options);

/// Returns one line, for people.
std::string Describe(const Step& step);

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_SCHEDULE_H_
