#include "gateway/object_log.h"

#include <boost/json.hpp>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "platform/field_access.h"
#include "platform/json_pieces.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;
using platform::StoredObject;

/// Bound of the entries of removed objects. A process that is further behind gets all objects.
constexpr size_t kMaxRemovedBytes = 262'144;

/// Appends an object's members that lead to its content in place of the content.
void EncodePatches(const ContentPatches& patches, std::string& text) {
  text += ",\"digest\":" + json::serialize(patches.digest) + ",\"patches\":[";
  for (const ContentPatch& step : patches.steps) {
    if (text.back() != '[') text += ',';
    text += "{\"base\":" + json::serialize(step.base) + ",\"patch\":" + step.patch + '}';
  }
  text += ']';
}

/// Returns nothing if the object has no patches, or malformed ones.
std::optional<ContentPatches> DecodePatches(const platform::JsonMembers& members) {
  const auto items = platform::SplitElements(platform::FindMember(members, "patches"));
  if (!items) return std::nullopt;
  json::object fields;
  std::string error;
  fields["digest"] = platform::ParsePiece(platform::FindMember(members, "digest"), 1, error);
  ContentPatches patches;
  patches.digest = platform::StringAt(fields, "digest");
  for (const std::string_view item : *items) {
    const platform::JsonMembers step = platform::SplitMembers(item);
    fields["base"] = platform::ParsePiece(platform::FindMember(step, "base"), 1, error);
    patches.steps.push_back(
        {platform::StringAt(fields, "base"), std::string(platform::FindMember(step, "patch"))});
  }
  if (!error.empty()) return std::nullopt;
  return patches;
}

/// Decodes an object of a relay's response, of this history unless it names another. Its content
/// may come from another writer.
std::optional<StoredObject> DecodeObject(const platform::JsonMembers& members, int64_t history) {
  json::object fields;
  std::string error;
  for (const char* name : {"name", "revision", "removed"}) {
    fields[name] = platform::ParsePiece(platform::FindMember(members, name), 1, error);
  }
  if (!error.empty() || !fields["name"].is_string()) return std::nullopt;
  StoredObject object;
  object.name = platform::StringAt(fields, "name");
  object.revision = platform::IntegerAt(fields, "revision");
  object.history = history;
  const std::string_view own_history = platform::FindMember(members, "history");
  if (!own_history.empty()) {
    fields["history"] = platform::ParsePiece(own_history, 1, error);
    object.history = platform::IntegerAt(fields, "history");
  }
  object.removed = platform::BooleanAt(fields, "removed");
  platform::DecodeContent(platform::FindMember(members, "content"), object);
  platform::DecodeStatus(platform::FindMember(members, "status"), object);
  // Processes of an earlier version do not send this field.
  const std::string_view reason = platform::FindMember(members, "unreadable");
  if (object.unreadable.empty() && !reason.empty()) {
    fields["unreadable"] = platform::ParsePiece(reason, 1, error);
    object.unreadable = platform::StringAt(fields, "unreadable");
  }
  return object;
}

}  // namespace

std::string EncodeObjectChanges(const ObjectChanges& changes) {
  json::object head{{"all", changes.full},
                    {"history", changes.position.history},
                    {"revision", changes.position.revision},
                    {"age_ms", ToMillis(changes.age)},
                    {"outage", changes.outage},
                    {"relayed", changes.relayed},
                    {"restoring", changes.restoring},
                    {"ahead", changes.ahead}};
  // The contents are large. Each is serialized where it is, not copied into one tree first.
  std::string text = json::serialize(head);
  text.pop_back();
  text += ",\"objects\":[";
  for (const StoredObject& object : changes.objects) {
    json::object fields{{"name", object.name},
                        {"revision", object.revision},
                        {"removed", object.removed},
                        {"unreadable", object.unreadable}};
    if (object.history != changes.position.history) fields["history"] = object.history;
    if (text.back() != '[') text += ',';
    text += json::serialize(fields);
    text.pop_back();
    const auto patches = changes.patches.find(object.name);
    if (patches != changes.patches.end()) {
      EncodePatches(patches->second, text);
    } else {
      text += ",\"content\":";
      text += json::serialize(object.content);
    }
    if (!object.status.is_null()) text += ",\"status\":" + json::serialize(object.status);
    text += '}';
  }
  text += "]}";
  return text;
}

std::optional<ObjectChanges> DecodeObjectChanges(const std::string& body) {
  const platform::JsonMembers members = platform::SplitMembers(body);
  json::object fields;
  std::string error;
  for (const char* name : {"all", "revision", "age_ms", "outage"}) {
    fields[name] = platform::ParsePiece(platform::FindMember(members, name), 1, error);
  }
  if (!error.empty()) return std::nullopt;
  ObjectChanges changes;
  changes.full = platform::BooleanAt(fields, "all");
  changes.position.revision = platform::IntegerAt(fields, "revision");
  changes.age = platform::MillisAt(fields, "age_ms");
  changes.outage = platform::BooleanAt(fields, "outage");
  // Processes of an earlier version do not send these fields.
  for (const char* name : {"relayed", "history", "restoring", "ahead"}) {
    const std::string_view text = platform::FindMember(members, name);
    if (!text.empty()) fields[name] = platform::ParsePiece(text, 1, error);
  }
  if (fields.contains("restoring")) {
    changes.restoring = platform::BooleanAt(fields, "restoring");
  }
  if (fields.contains("ahead")) changes.ahead = platform::BooleanAt(fields, "ahead");
  if (fields.contains("relayed")) changes.relayed = platform::BooleanAt(fields, "relayed");
  if (fields.contains("history")) {
    changes.position.history = platform::IntegerAt(fields, "history");
  }
  const auto items = platform::SplitElements(platform::FindMember(members, "objects"));
  if (!items) return std::nullopt;
  for (const std::string_view item : *items) {
    const platform::JsonMembers object_members = platform::SplitMembers(item);
    std::optional<StoredObject> object = DecodeObject(object_members, changes.position.history);
    if (!object) continue;
    if (std::optional<ContentPatches> patches = DecodePatches(object_members)) {
      changes.patches[object->name] = std::move(*patches);
    }
    changes.objects.push_back(std::move(*object));
  }
  return changes;
}

std::vector<StoredObject> ObjectLog::Reset(std::vector<StoredObject> objects,
                                           StorePosition position) {
  std::set<std::string> names;
  for (const StoredObject& object : objects) names.insert(object.name);
  std::vector<StoredObject> changes = std::move(objects);
  for (const Entry& entry : entries_) {
    const StoredObject& object = entry.object;
    if (object.removed || names.count(object.name) > 0) continue;
    StoredObject removed;
    removed.name = object.name;
    removed.revision = position.revision;
    removed.removed = true;
    removed.history = position.history;
    changes.push_back(std::move(removed));
  }
  for (const StoredObject& change : changes) RecordPatch(change);
  entries_.clear();
  by_name_.clear();
  removed_bytes_ = 0;
  if (history_ != position.history) changed_revision_ = 0;
  history_ = position.history;
  history_begin_ = position.revision;
  revision_ = position.revision;
  changed_revision_ = std::min(changed_revision_, revision_);
  for (const StoredObject& change : changes) {
    RecordChange(change, revision_);
    if (!change.removed) Put(change);
  }
  return changes;
}

void ObjectLog::Append(std::vector<StoredObject> changes, int64_t revision) {
  revision_ = std::max(revision_, revision);
  for (StoredObject& change : changes) {
    RecordPatch(change);
    RecordChange(change, revision_);
    Put(std::move(change));
  }
  for (auto entry = entries_.begin(); removed_bytes_ > kMaxRemovedBytes;) {
    const auto oldest = entry++;
    if (!oldest->object.removed) continue;
    history_begin_ = oldest->revision;
    Erase(oldest);
  }
}

void ObjectLog::Put(StoredObject change) {
  const auto known = by_name_.find(change.name);
  if (known != by_name_.end()) Erase(known->second);
  entries_.push_back({revision_, std::move(change)});
  const StoredObject& object = entries_.back().object;
  by_name_[object.name] = std::prev(entries_.end());
  if (object.removed) removed_bytes_ += sizeof(Entry) + object.name.size();
}

void ObjectLog::Erase(Entries::iterator entry) {
  const StoredObject& object = entry->object;
  if (object.removed) removed_bytes_ -= sizeof(Entry) + object.name.size();
  by_name_.erase(object.name);
  entries_.erase(entry);
}

void ObjectLog::RecordPatch(const StoredObject& change) {
  if (!keeps_patches_) return;
  const StoredObject* const known = Find(change.name);
  if (change.removed || !change.content.is_object()) {
    patches_.erase(change.name);
  } else {
    // The contents are large: none is copied, and a digest that is known is not computed again.
    static const json::value kNoContent;
    patches_[change.name].Record(
        known == nullptr ? kNoContent : known->content, change.content,
        change.content_digest.empty() ? ContentDigest(change.content) : change.content_digest);
  }
}

void ObjectLog::RecordChange(const StoredObject& change, int64_t revision) {
  // The store does not say at which revision an object was removed, and the revision of an object
  // of an earlier history says nothing in this one.
  const bool known = !change.removed && change.history == history_;
  changed_revision_ =
      std::max(changed_revision_, known ? std::min(change.revision, revision) : revision);
}

ObjectChanges ObjectLog::ChangesSince(StorePosition since,
                                      const std::vector<std::string>& known_digests) const {
  ObjectChanges changes;
  changes.full = since.history != history_ || since.revision < history_begin_;
  changes.position = {history_, changes.full ? revision_ : std::max(since.revision, revision_)};
  for (const Entry& entry : entries_) {
    const StoredObject& object = entry.object;
    const bool wanted = changes.full ? !object.removed : entry.revision > since.revision;
    if (!wanted) continue;
    const auto history = patches_.find(object.name);
    std::optional<ContentPatches> patches;
    if (history != patches_.end()) patches = history->second.Since(known_digests);
    if (!patches) {
      changes.objects.push_back(object);
      continue;
    }
    changes.patches[object.name] = std::move(*patches);
    changes.objects.push_back({object.name, object.revision, object.removed, nullptr,
                               object.unreadable, object.status, object.history});
  }
  return changes;
}

std::vector<std::string> ObjectLog::Digests() const {
  std::vector<std::string> digests;
  digests.reserve(patches_.size());
  for (const auto& [name, history] : patches_) digests.push_back(history.digest());
  return digests;
}

bool ObjectLog::ApplyPatches(ObjectChanges& changes) {
  for (StoredObject& object : changes.objects) {
    const auto patches = changes.patches.find(object.name);
    if (patches == changes.patches.end()) continue;
    const StoredObject* const known = Find(object.name);
    const auto history = patches_.find(object.name);
    if (known == nullptr || history == patches_.end()) return false;
    std::optional<json::value> content =
        fuchsiaweir::ApplyPatches(known->content, history->second.digest(), patches->second);
    if (!content) return false;
    object.content = std::move(*content);
    object.content_digest = patches->second.digest;
    history->second.KeepReceived(std::move(patches->second));
  }
  changes.patches.clear();
  return true;
}

bool ObjectLog::HasChangesSince(StorePosition since) const {
  return since.history != history_ || since.revision < history_begin_ ||
         (!entries_.empty() && entries_.back().revision > since.revision);
}

const StoredObject* ObjectLog::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  if (found == by_name_.end() || found->second->object.removed) return nullptr;
  return &found->second->object;
}

}  // namespace fuchsiaweir
