#ifndef FUCHSIAWEIR_GATEWAY_WATCHED_CONTENTS_H_
#define FUCHSIAWEIR_GATEWAY_WATCHED_CONTENTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/source_choice.h"
#include "gateway/object_log.h"
#include "net/awaitable.h"

namespace fuchsiaweir {

/// What this process knows of one kind of the store's objects, and the reads of other processes
/// that wait for its changes.
struct WatchedContents {
  ObjectLog log;
  TimePoint as_of;  ///< When the contents were last current, by `SuspendAwareNow`.
  SourceChoice choice;
  std::string source;        ///< Where the last current contents were read.
  bool from_store = false;   ///< The last read was one of the store, and succeeded.
  bool catching_up = false;  ///< A change that a peer knows is being read.
  /// Set while the store may be older than what was known before it came back from a copy. Then it
  /// is listed once more, and what it does not have ends.
  std::optional<TimePoint> restore_ends_at;
  bool ahead = false;  ///< The contents have objects that are newer than the store's.
  std::vector<boost::asio::steady_timer*> waiting_reads;

  /// Returns the changes since a position. Waits for them until `wait` has passed, or until the
  /// contents are older than `max_age`. Contents that were not read from the store are not waited
  /// for: the reader may be their source.
  Awaitable<ObjectChanges> Changes(boost::asio::io_context& io, StorePosition since,
                                   std::vector<std::string> known_digests, Duration wait,
                                   Duration max_age);
  /// Ends the reads that wait.
  void EndWaitingReads();
  /// Whether the store has had no time yet to get again what it lost.
  bool Restoring(TimePoint now) const { return restore_ends_at && now < *restore_ends_at; }
  /// Whether the store is to be listed once more.
  bool ListDue(TimePoint now) const { return restore_ends_at && now >= *restore_ends_at; }
  /// Records whether the contents are read from the store.
  void SetFromStore(bool value);
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_WATCHED_CONTENTS_H_
