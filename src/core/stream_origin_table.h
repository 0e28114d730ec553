#ifndef FUCHSIAWEIR_CORE_STREAM_ORIGIN_TABLE_H_
#define FUCHSIAWEIR_CORE_STREAM_ORIGIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// The version of the software that began each recent stream.
class StreamOriginTable {
 public:
  /// Identifies a stream by its service and the id of the caller's attempt that began it.
  static uint64_t Key(const std::string& service, const std::string& first_attempt);

  /// A stream that this process has begun.
  struct Begun {
    uint64_t key = 0;
    std::string service;
    std::string version;
    TimePoint at;
  };

  /// Records a stream that this process has begun.
  void OnBegun(const std::string& service, uint64_t key, const std::string& version, TimePoint now);
  /// Records which version began a stream, or renews the record.
  void Record(uint64_t key, const std::string& version, TimePoint now);
  /// Records which version must have begun a stream that no process has a record of. It is neither
  /// found as a known version nor among the streams that this process has begun.
  void RecordInferred(uint64_t key, const std::string& version, TimePoint now);
  /// Returns the version that began the stream; nothing if it is not known.
  std::optional<std::string> Find(uint64_t key) const;
  /// Returns the inferred version of a stream whose version is not known.
  std::optional<std::string> FindInferred(uint64_t key) const;
  /// Forgets streams that were last recorded before `limit`.
  void Expire(TimePoint limit);
  /// Returns the streams of the service that this process has begun.
  std::vector<Begun> BegunHere(const std::string& service) const;
  size_t size() const { return versions_.size(); }

 private:
  struct Entry {
    std::string version;
    TimePoint at;
    bool known = true;  ///< Not inferred.
  };

  void Renew(uint64_t key, const Entry& entry);

  std::unordered_map<uint64_t, Entry> versions_;
  std::deque<std::pair<TimePoint, uint64_t>> order_;  ///< Of the records, oldest first.
  std::deque<Begun> begun_;                           ///< Oldest first.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_STREAM_ORIGIN_TABLE_H_
