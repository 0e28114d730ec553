#ifndef FUCHSIAWEIR_GATEWAY_OBJECT_LOG_H_
#define FUCHSIAWEIR_GATEWAY_OBJECT_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "platform/store_page.h"

namespace fuchsiaweir {

/// Objects of one kind in the store, or their changes since a revision.
struct ObjectChanges {
  bool full = false;  ///< The objects are the whole contents, not only changes.
  int64_t revision = 0;
  std::vector<platform::StoredObject> objects;
  Duration age{0};      ///< Time since this was known to be the current state.
  bool outage = false;  ///< The store is or was recently unavailable.
};

std::string EncodeObjectChanges(const ObjectChanges& changes);
/// Returns nothing for a malformed body.
std::optional<ObjectChanges> DecodeObjectChanges(const std::string& body);

/// Objects of one kind and their recent changes, for this process and those that use it as a relay.
class ObjectLog {
 public:
  /// Replaces the contents. Returns the new objects, and those that are gone marked as removed.
  std::vector<platform::StoredObject> Reset(std::vector<platform::StoredObject> objects,
                                            int64_t revision);
  /// Applies changes up to a revision.
  void Append(const std::vector<platform::StoredObject>& changes, int64_t revision);

  /// Returns the changes since a revision, or all objects if they are not kept that far back.
  ObjectChanges ChangesSince(int64_t revision) const;
  /// Whether there are changes since a revision.
  bool HasChangesSince(int64_t revision) const;

  int64_t revision() const { return revision_; }
  /// Highest known revision of a change; at most `revision()`.
  int64_t changed_revision() const { return changed_revision_; }

 private:
  void RecordChange(const platform::StoredObject& change, int64_t revision);

  struct Entry {
    int64_t revision = 0;  ///< Revision of the response that contained the change.
    platform::StoredObject object;
  };

  std::map<std::string, platform::StoredObject> contents_;
  std::deque<Entry> history_;
  int64_t history_begin_ = 0;  ///< Revision from which the history is complete.
  int64_t revision_ = 0;
  int64_t changed_revision_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_OBJECT_LOG_H_
