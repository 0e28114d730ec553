#ifndef FUCHSIAWEIR_CORE_WORK_CHOICE_H_
#define FUCHSIAWEIR_CORE_WORK_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// A runner that may get a request.
struct TimedRunner {
  std::optional<Duration> expected;  ///< Expected time to the first event, if it is known.
  int64_t unread = 0;                ///< Requests there whose prompts are not read yet.
  Duration reading{0};  ///< Part of it in which the runner reads the request's own prompt.
  /// Order among runners with about the same expected time; differs by prompt or request, so that
  /// gateways with the same stale reports do not all choose the same runner.
  uint64_t rank = 0;
  bool usable = false;  ///< Its load and failure rate allow further requests.
};

/// Returns the index of the runner that is to get a request in place of `present`, the choice by
/// affinity and load; nothing to keep that one. It is kept while its expected time is well inside
/// the objective or unknown, or no usable runner is clearly faster.
std::optional<size_t> ChooseByExpectedTime(const std::vector<TimedRunner>& runners, size_t present,
                                           Duration objective);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WORK_CHOICE_H_
