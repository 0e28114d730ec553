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

/// Changes that are kept for other processes. Runners change their entries about once a second, so
/// this covers some seconds of a large fleet. A process that is further behind gets all objects.
constexpr size_t kMaxHistory = 2'000;

/// Decodes an object of a relay's response. Its content may come from another writer.
std::optional<StoredObject> DecodeObject(std::string_view text) {
  const platform::JsonMembers members = platform::SplitMembers(text);
  json::object fields;
  std::string error;
  for (const char* name : {"name", "revision", "removed"}) {
    fields[name] = platform::ParsePiece(platform::FindMember(members, name), 1, error);
  }
  if (!error.empty() || !fields["name"].is_string()) return std::nullopt;
  StoredObject object;
  object.name = platform::StringAt(fields, "name");
  object.revision = platform::IntegerAt(fields, "revision");
  object.removed = platform::BooleanAt(fields, "removed");
  platform::DecodeContent(platform::FindMember(members, "content"), object);
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
  json::array objects;
  for (const StoredObject& object : changes.objects) {
    objects.push_back(json::object{{"name", object.name},
                                   {"revision", object.revision},
                                   {"removed", object.removed},
                                   {"unreadable", object.unreadable},
                                   {"content", object.content}});
  }
  return json::serialize(json::object{{"all", changes.full},
                                      {"revision", changes.revision},
                                      {"age_ms", ToMillis(changes.age)},
                                      {"outage", changes.outage},
                                      {"objects", std::move(objects)}});
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
  changes.revision = platform::IntegerAt(fields, "revision");
  changes.age = platform::MillisAt(fields, "age_ms");
  changes.outage = platform::BooleanAt(fields, "outage");
  for (const std::string_view item :
       platform::SplitElements(platform::FindMember(members, "objects"))) {
    if (std::optional<StoredObject> object = DecodeObject(item)) {
      changes.objects.push_back(std::move(*object));
    }
  }
  return changes;
}

std::vector<StoredObject> ObjectLog::Reset(std::vector<StoredObject> objects, int64_t revision) {
  std::set<std::string> names;
  for (const StoredObject& object : objects) names.insert(object.name);
  std::vector<StoredObject> changes = objects;
  for (const auto& [name, object] : contents_) {
    if (names.count(name) > 0) continue;
    changes.push_back({name, revision, true, nullptr});
  }
  for (const StoredObject& change : changes) RecordChange(change, revision);
  contents_.clear();
  for (StoredObject& object : objects) contents_[object.name] = std::move(object);
  history_.clear();
  history_begin_ = revision;
  revision_ = revision;
  return changes;
}

void ObjectLog::Append(const std::vector<StoredObject>& changes, int64_t revision) {
  revision_ = std::max(revision_, revision);
  for (const StoredObject& change : changes) {
    if (change.removed) {
      contents_.erase(change.name);
    } else {
      contents_[change.name] = change;
    }
    history_.push_back({revision_, change});
    RecordChange(change, revision_);
  }
  while (history_.size() > kMaxHistory) {
    history_begin_ = history_.front().revision;
    history_.pop_front();
  }
}

void ObjectLog::RecordChange(const StoredObject& change, int64_t revision) {
  // The store does not say at which revision an object was removed.
  changed_revision_ = std::max(changed_revision_, change.removed ? revision : change.revision);
}

ObjectChanges ObjectLog::ChangesSince(int64_t revision) const {
  ObjectChanges changes;
  changes.revision = std::max(revision, revision_);
  changes.full = revision < history_begin_;
  if (changes.full) {
    for (const auto& [name, object] : contents_) changes.objects.push_back(object);
    return changes;
  }
  for (const Entry& entry : history_) {
    if (entry.revision > revision) changes.objects.push_back(entry.object);
  }
  return changes;
}

bool ObjectLog::HasChangesSince(int64_t revision) const {
  return revision < history_begin_ || (!history_.empty() && history_.back().revision > revision);
}

}  // namespace fuchsiaweir
