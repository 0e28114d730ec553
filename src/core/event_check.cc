#include "core/event_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Whether a line has the form of an event's field. Fields that the standard does not name are
/// allowed, but the first line of an HTTP response and the usual names of its fields are not.
bool IsEventLine(absl::string_view line) {
  const absl::string_view name = line.substr(0, line.find(':'));
  return std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_islower(static_cast<unsigned char>(c)) ||
           absl::ascii_isdigit(static_cast<unsigned char>(c)) || c == '-' || c == '_';
  });
}

}  // namespace

// Load pattern: a runner stops in the middle of an event, and an error's text, or all of a second
// response, follows on the same connection or from the next runner.
EventVerdict EventCheck::Check(const StreamEvent& event, int64_t last_event_id) {
  if (separator_size_ == 0) separator_size_ = event.separator_size;
  // The lines of a response's header end otherwise than those of the events before them.
  if (event.separator_size != separator_size_) return EventVerdict::kMalformed;
  bool only_comments = true;
  const absl::string_view text(event.bytes.data(), event.bytes.size() - event.separator_size);
  const absl::string_view line_end = event.separator_size == 2 ? "\n" : "\r\n";
  for (const absl::string_view line : absl::StrSplit(text, line_end)) {
    if (line.empty() || line.front() == ':') continue;
    only_comments = false;
    if (!IsEventLine(line) || absl::StrContains(line, '\r')) return EventVerdict::kMalformed;
  }
  if (!event.id) {
    return ids_required_ && !only_comments ? EventVerdict::kMalformed : EventVerdict::kForward;
  }
  ids_required_ = true;
  return *event.id <= last_event_id ? EventVerdict::kDuplicate : EventVerdict::kForward;
}

}  // namespace fuchsiaweir
