#include "core/stream_origin_table.h"

#include <absl/strings/str_cat.h>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// Limit of the records, about 3 MB. A stream that is forgotten early cannot be resumed.
constexpr size_t kMaxRecords = 20'000;

}  // namespace

uint64_t StreamOriginTable::Key(const std::string& service, const std::string& first_attempt) {
  return RendezvousHash(absl::StrCat(service, "\n", first_attempt));
}

void StreamOriginTable::OnBegun(const std::string& service, uint64_t key,
                                const std::string& version, TimePoint now) {
  begun_.push_back({key, service, version, now});
  if (begun_.size() > kMaxRecords) begun_.pop_front();
  Record(key, version, now);
}

void StreamOriginTable::Record(uint64_t key, const std::string& version, TimePoint now) {
  Renew(key, {version, now, true});
}

void StreamOriginTable::RecordInferred(uint64_t key, const std::string& version, TimePoint now) {
  Renew(key, {version, now, false});
}

void StreamOriginTable::Renew(uint64_t key, const Entry& entry) {
  // The first record counts, and the others of a stream only renew it, unless the first one was
  // inferred.
  Entry& kept = versions_.try_emplace(key, entry).first->second;
  if (entry.known && !kept.known) kept = entry;
  kept.at = entry.at;
  order_.emplace_back(entry.at, key);
  while (order_.size() > kMaxRecords) Expire(order_.front().first + Micros(1));
}

std::optional<std::string> StreamOriginTable::Find(uint64_t key) const {
  const auto found = versions_.find(key);
  if (found == versions_.end() || !found->second.known) return std::nullopt;
  return found->second.version;
}

std::optional<std::string> StreamOriginTable::FindInferred(uint64_t key) const {
  const auto found = versions_.find(key);
  if (found == versions_.end() || found->second.known) return std::nullopt;
  return found->second.version;
}

void StreamOriginTable::Expire(TimePoint limit) {
  while (!order_.empty() && order_.front().first < limit) {
    const auto found = versions_.find(order_.front().second);
    if (found != versions_.end() && found->second.at < limit) versions_.erase(found);
    order_.pop_front();
  }
  while (!begun_.empty() && begun_.front().at < limit) begun_.pop_front();
}

std::vector<StreamOriginTable::Begun> StreamOriginTable::BegunHere(
    const std::string& service) const {
  std::vector<Begun> begun;
  for (const Begun& stream : begun_) {
    if (stream.service == service) begun.push_back(stream);
  }
  return begun;
}

}  // namespace fuchsiaweir
