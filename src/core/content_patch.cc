#include "core/content_patch.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

/// Size up to which patches are kept. A process that is further behind gets the whole content. A
/// link of 10 Mbit/s takes 50 ms for as much.
constexpr size_t kMaxPatchBytes = 65'536;

/// Above the number of elements that a value of the store has room for.
constexpr size_t kMaxElements = 1'000'000;
/// Nesting of a patch: of a content, and of what a patch adds.
constexpr size_t kMaxPatchDepth = 40;

// Names of a patch's fields.
constexpr char kMembers[] = "members";
constexpr char kRemoved[] = "removed";
constexpr char kValue[] = "value";
constexpr char kRuns[] = "runs";

uint64_t Hash(const json::value& value) {
  const std::string text = json::serialize(value);
  return XXH3_64bits(text.data(), text.size());
}

/// Returns runs that make up `target`: [FIRST, COUNT] for elements of `base`, [ELEMENT] for a new
/// one.
json::array DiffElements(const json::array& base, const json::array& target) {
  std::unordered_map<uint64_t, size_t> index_by_hash;
  for (size_t i = base.size(); i-- > 0;) index_by_hash[std::hash<json::value>{}(base[i])] = i;
  json::array runs;
  for (size_t i = 0; i < target.size();) {
    // Most elements stay where they are.
    size_t first = i;
    if (first >= base.size() || base[first] != target[i]) {
      const auto found = index_by_hash.find(std::hash<json::value>{}(target[i]));
      first = found == index_by_hash.end() ? base.size() : found->second;
    }
    size_t count = 0;
    while (first + count < base.size() && i + count < target.size() &&
           base[first + count] == target[i + count]) {
      ++count;
    }
    if (count == 0) {
      runs.push_back(json::array{target[i]});
    } else {
      runs.push_back(json::array{first, count});
    }
    i += std::max<size_t>(1, count);
  }
  return runs;
}

std::optional<json::array> PatchElements(const json::array& base, const json::array& runs) {
  json::array elements;
  for (const json::value& item : runs) {
    const json::array* const run = item.if_array();
    if (run == nullptr || run->empty() || run->size() > 2) return std::nullopt;
    if (elements.size() >= kMaxElements) return std::nullopt;
    if (run->size() == 1) {
      elements.push_back(run->front());
      continue;
    }
    boost::system::error_code error;
    const auto first = run->at(0).to_number<uint64_t>(error);
    if (error || first > base.size()) return std::nullopt;
    const auto count = run->at(1).to_number<uint64_t>(error);
    if (error || count > base.size() - first) return std::nullopt;
    if (count > kMaxElements - elements.size()) return std::nullopt;
    const auto begin = base.begin() + static_cast<std::ptrdiff_t>(first);
    elements.insert(elements.end(), begin, begin + static_cast<std::ptrdiff_t>(count));
  }
  return elements;
}

/// Applies the change of one member, which `known` is the value of; null if there is none.
std::optional<json::value> PatchMember(const json::value* known, const json::value& change) {
  const json::object* const fields = change.if_object();
  if (fields == nullptr) return std::nullopt;
  if (const json::value* const value = fields->if_contains(kValue)) return *value;
  const json::value* const runs = fields->if_contains(kRuns);
  if (runs == nullptr || !runs->is_array() || known == nullptr || !known->is_array()) {
    return std::nullopt;
  }
  return PatchElements(known->as_array(), runs->as_array());
}

/// Returns the first step from the content with this digest.
std::vector<ContentPatch>::const_iterator FindStep(const ContentPatches& patches,
                                                   const std::string& digest) {
  return std::find_if(patches.steps.begin(), patches.steps.end(),
                      [&](const ContentPatch& item) { return item.base == digest; });
}

}  // namespace

std::string ContentDigest(const json::value& content) {
  const json::object* const members = content.if_object();
  uint64_t digest = 0;
  if (members == nullptr) {
    digest = Hash(content);
  } else {
    for (const json::key_value_pair& member : *members) {
      digest +=
          XXH3_64bits_withSeed(member.key().data(), member.key().size(), Hash(member.value()));
    }
  }
  return absl::StrCat(absl::Hex(digest, absl::kZeroPad16));
}

json::value DiffContent(const json::value& base, const json::value& target) {
  const json::object* const known = base.if_object();
  const json::object* const wanted = target.if_object();
  if (known == nullptr || wanted == nullptr) return json::object{{kValue, target}};
  json::object members;
  for (const json::key_value_pair& member : *wanted) {
    const json::value* const replaced = known->if_contains(member.key());
    if (replaced != nullptr && *replaced == member.value()) continue;
    const bool arrays = replaced != nullptr && replaced->is_array() && member.value().is_array();
    members[member.key()] =
        arrays
            ? json::object{{kRuns, DiffElements(replaced->as_array(), member.value().as_array())}}
            : json::object{{kValue, member.value()}};
  }
  json::array removed;
  for (const json::key_value_pair& member : *known) {
    if (!wanted->contains(member.key())) removed.push_back(json::string(member.key()));
  }
  json::object patch{{kMembers, std::move(members)}};
  if (!removed.empty()) patch[kRemoved] = std::move(removed);
  return patch;
}

std::optional<json::value> PatchContent(const json::value& base, const json::value& patch) {
  const json::object* const fields = patch.if_object();
  if (fields == nullptr) return std::nullopt;
  if (const json::value* const whole = fields->if_contains(kValue)) return *whole;
  const json::value* const changed = fields->if_contains(kMembers);
  if (!base.is_object() || changed == nullptr || !changed->is_object()) return std::nullopt;
  std::set<std::string_view> replaced;
  json::object content;
  for (const json::key_value_pair& member : changed->as_object()) {
    std::optional<json::value> value =
        PatchMember(base.as_object().if_contains(member.key()), member.value());
    if (!value) return std::nullopt;
    content[member.key()] = std::move(*value);
    replaced.insert(member.key());
  }
  if (const json::value* const removed = fields->if_contains(kRemoved)) {
    if (!removed->is_array()) return std::nullopt;
    for (const json::value& name : removed->as_array()) {
      if (name.is_string()) replaced.insert(name.as_string());
    }
  }
  for (const json::key_value_pair& member : base.as_object()) {
    if (replaced.count(member.key()) == 0) content[member.key()] = member.value();
  }
  return content;
}

std::optional<json::value> ApplyPatches(const json::value& known, const std::string& known_digest,
                                        const ContentPatches& patches) {
  if (known_digest == patches.digest) return known;
  auto step = FindStep(patches, known_digest);
  if (step == patches.steps.end()) return std::nullopt;
  json::parse_options options;
  options.max_depth = kMaxPatchDepth;
  std::optional<json::value> content;
  for (; step != patches.steps.end(); ++step) {
    boost::system::error_code error;
    const json::value patch = json::parse(step->patch, error, {}, options);
    if (error) return std::nullopt;
    content = PatchContent(content ? *content : known, patch);
    if (!content) return std::nullopt;
  }
  if (ContentDigest(*content) != patches.digest) return std::nullopt;
  return content;
}

void PatchHistory::Record(const json::value& replaced, const json::value& content,
                          std::string digest) {
  if (digest == digest_) return;
  std::string base = std::exchange(digest_, std::move(digest));
  const ContentPatches received = std::exchange(received_, {});
  if (base.empty()) return;
  auto step = FindStep(received, base);
  if (received.digest != digest_ || step == received.steps.end()) {
    return Add({std::move(base), json::serialize(DiffContent(replaced, content))});
  }
  for (; step != received.steps.end(); ++step) Add(*step);
}

void PatchHistory::Add(ContentPatch step) {
  bytes_ += step.patch.size();
  steps_.push_back(std::move(step));
  while (bytes_ > kMaxPatchBytes) {
    bytes_ -= steps_.front().patch.size();
    steps_.pop_front();
  }
}

std::optional<ContentPatches> PatchHistory::Since(const std::vector<std::string>& digests) const {
  const auto known = [&](const std::string& digest) {
    return std::find(digests.begin(), digests.end(), digest) != digests.end();
  };
  if (digest_.empty()) return std::nullopt;
  if (known(digest_)) return ContentPatches{{}, digest_};
  // The last one that fits needs the fewest changes.
  const auto step = std::find_if(steps_.rbegin(), steps_.rend(),
                                 [&](const ContentPatch& item) { return known(item.base); });
  if (step == steps_.rend()) return std::nullopt;
  return ContentPatches{{std::prev(step.base()), steps_.end()}, digest_};
}

}  // namespace fuchsiaweir
