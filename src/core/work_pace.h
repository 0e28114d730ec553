#ifndef FUCHSIAWEIR_CORE_WORK_PACE_H_
#define FUCHSIAWEIR_CORE_WORK_PACE_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/runner_record.h"

namespace fuchsiaweir {

/// Measures a runner's current pace from the progress of its runs between two reports.
///
/// Load pattern: runners that take several times as long for about half a second, a few times the
/// period of the reports. Nothing but the progress of the runs shows such a period in time.
class PaceMeter {
 public:
  /// Returns the time per generated event of a run, over the last two or three reports; zero while
  /// too few events were generated to measure it. `now` is when the report was read.
  Duration OnReport(const EngineReport& report, TimePoint now);

 private:
  /// Time between the reports, on the runner's clock if it has a usable one.
  Duration Between(const EngineReport& report, TimePoint now) const;

  std::optional<EngineReport> last_;
  TimePoint last_at_;
  double run_us_ = 0;  ///< Decayed time of all runs that were generating events.
  double events_ = 0;  ///< Decayed number of events that they generated.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WORK_PACE_H_
