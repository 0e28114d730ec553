#ifndef FUCHSIAWEIR_GATEWAY_OBJECT_LOG_H_
#define FUCHSIAWEIR_GATEWAY_OBJECT_LOG_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/content_patch.h"
#include "core/store_position.h"
#include "platform/store_page.h"

namespace fuchsiaweir {

/// Objects of one kind in the store, or their changes since a revision.
struct ObjectChanges {
  bool full = false;  ///< The objects are the whole contents, not only changes.
  StorePosition position;
  std::vector<platform::StoredObject> objects;
  /// By object name: the changes that lead to its content, which is null then.
  std::map<std::string, ContentPatches> patches;
  Duration age{0};      ///< Time since this was known to be the current state.
  bool outage = false;  ///< The store is or was recently unavailable.
  /// The process that tells this did not read it from the store, but from another one.
  bool relayed = false;
  /// The contents may have objects that the store has lost and does not have again.
  bool restoring = false;
  bool ahead = false;  ///< The contents have objects that are newer than the store's.
};

std::string EncodeObjectChanges(const ObjectChanges& changes);
/// Returns nothing for a malformed body.
std::optional<ObjectChanges> DecodeObjectChanges(const std::string& body);

/// Objects of one kind and when each last changed, for this process and those that use it as a
/// relay. Replaced contents are not kept: a process that reads the changes gets the newest of each
/// object.
class ObjectLog {
 public:
  /// Keeps the latest changes of each content for `ChangesSince`. Call before the first change.
  void KeepPatches() { keeps_patches_ = true; }

  /// Replaces the contents. Returns the new objects, and those that are gone marked as removed.
  std::vector<platform::StoredObject> Reset(std::vector<platform::StoredObject> objects,
                                            StorePosition position);
  /// Applies changes up to a revision of the same history.
  void Append(std::vector<platform::StoredObject> changes, int64_t revision);

  /// Returns the objects that changed since a position, or all objects if it is of another history
  /// or it is not known which were removed since then.
  /// Contents of which the reader knows an earlier one, by its digest, are given as patches.
  ObjectChanges ChangesSince(StorePosition since,
                             const std::vector<std::string>& known_digests = {}) const;
  /// Whether there are changes since a position.
  bool HasChangesSince(StorePosition since) const;
  /// Digests of the contents whose changes are kept.
  std::vector<std::string> Digests() const;
  /// Replaces patches by the contents that they lead to from those known. Returns whether that was
  /// possible for all.
  bool ApplyPatches(ObjectChanges& changes);
  /// Returns the object, or null if there is none.
  const platform::StoredObject* Find(const std::string& name) const;

  /// Revision 0: nothing has been read.
  StorePosition position() const { return {history_, revision_}; }
  /// Position of the newest known change; at most `position()`.
  StorePosition changed_position() const { return {history_, changed_revision_}; }

 private:
  struct Entry {
    int64_t revision = 0;  ///< Revision of the response that contained the change.
    platform::StoredObject object;
  };
  using Entries = std::list<Entry>;

  void Put(platform::StoredObject change);
  void Erase(Entries::iterator entry);
  void RecordPatch(const platform::StoredObject& change);
  void RecordChange(const platform::StoredObject& change, int64_t revision);

  Entries entries_;  ///< The last change of each object, oldest first.
  std::map<std::string, Entries::iterator> by_name_;
  size_t removed_bytes_ = 0;   ///< Size of the entries of removed objects.
  int64_t history_ = 0;        ///< Of the store, to which the revisions belong.
  int64_t history_begin_ = 0;  ///< Revision from which all removed objects are known.
  int64_t revision_ = 0;
  int64_t changed_revision_ = 0;
  bool keeps_patches_ = false;
  std::map<std::string, PatchHistory> patches_;  ///< By object name.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_OBJECT_LOG_H_
