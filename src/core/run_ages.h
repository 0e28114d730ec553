#ifndef FUCHSIAWEIR_CORE_RUN_AGES_H_
#define FUCHSIAWEIR_CORE_RUN_AGES_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Tracks since when the runs of a runner are in progress, as its reports do not say so.
class RunAges {
 public:
  /// Takes over the ids of all runs in progress.
  void Observe(const std::vector<std::string>& runs, TimePoint now);
  /// Returns the time since the oldest run was first observed; zero without runs.
  Duration Oldest(TimePoint now) const;

 private:
  std::map<std::string, TimePoint> first_seen_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUN_AGES_H_
