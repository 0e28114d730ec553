#ifndef FUCHSIAWEIR_CORE_CONTENT_PATCH_H_
#define FUCHSIAWEIR_CORE_CONTENT_PATCH_H_

#include <boost/json.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaweir {

/// Returns a digest of a JSON value. The order of an object's own members does not matter.
std::string ContentDigest(const boost::json::value& content);

/// Returns what turns `base` into `target`; members that are arrays are compared by element.
boost::json::value DiffContent(const boost::json::value& base, const boost::json::value& target);

/// Applies a patch of `DiffContent`. Returns nothing if it is malformed or does not fit `base`.
std::optional<boost::json::value> PatchContent(const boost::json::value& base,
                                               const boost::json::value& patch);

/// One change of a content, between processes.
struct ContentPatch {
  std::string base;   ///< Digest of the content that it changes.
  std::string patch;  ///< JSON text of the patch.
};

/// The changes that lead to a content, oldest first.
struct ContentPatches {
  std::vector<ContentPatch> steps;
  std::string digest;  ///< Of the content that the last one leads to.
};

/// Applies those steps that `known` does not have. Returns nothing if `known` is none of the
/// contents that the steps lead through, or if the result is not the one that they announce.
std::optional<boost::json::value> ApplyPatches(const boost::json::value& known,
                                               const std::string& known_digest,
                                               const ContentPatches& patches);

/// The latest changes of one content, so that processes that know an earlier one get only these.
///
/// Load pattern: a desired state of 1,400 routes changes every half second. Sent whole to each
/// reader, it fills a link of 10 Mbit/s, which callers' answers share.
class PatchHistory {
 public:
  /// Keeps patches that were received, so that they need not be computed again once the content
  /// that they lead to is recorded.
  void KeepReceived(ContentPatches patches) { received_ = std::move(patches); }
  /// Records the content that replaces the newest one, and its digest. Ignores the former content
  /// at the first call.
  void Record(const boost::json::value& replaced, const boost::json::value& content,
              std::string digest);
  void Record(const boost::json::value& replaced, const boost::json::value& content) {
    Record(replaced, content, ContentDigest(content));
  }
  /// Returns the changes that lead from a content that has one of these digests to the newest;
  /// nothing if none is known.
  std::optional<ContentPatches> Since(const std::vector<std::string>& digests) const;
  /// Digest of the newest content; empty before the first record.
  const std::string& digest() const { return digest_; }

 private:
  void Add(ContentPatch step);

  std::deque<ContentPatch> steps_;
  ContentPatches received_;
  size_t bytes_ = 0;  ///< Size of the patches.
  std::string digest_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CONTENT_PATCH_H_
