#ifndef FUCHSIAWEIR_CORE_EVENT_CHECK_H_
#define FUCHSIAWEIR_CORE_EVENT_CHECK_H_

#include <cstddef>
#include <cstdint>

#include "core/event_splitter.h"

namespace fuchsiaweir {

/// What is done with an event of a runner's stream.
enum class EventVerdict {
  kForward,
  kDuplicate,  ///< The caller already has it.
  kMalformed,  ///< The bytes are no event; the run is broken.
};

/// Checks the events of one run before they are joined to the caller's stream.
class EventCheck {
 public:
  /// `resumed`: the caller has events of an earlier run.
  explicit EventCheck(bool resumed) : ids_required_(resumed) {}

  /// `last_event_id` is the id of the caller's last event; 0: none.
  EventVerdict Check(const StreamEvent& event, int64_t last_event_id);

 private:
  bool ids_required_;
  size_t separator_size_ = 0;  ///< Of the run's first event; 0 before it.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_EVENT_CHECK_H_
