#include "core/event_splitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace fuchsiaweir {
namespace {

std::optional<int64_t> EventId(absl::string_view event) {
  for (const absl::string_view line : absl::StrSplit(event, '\n')) {
    int64_t id = 0;
    if (absl::StartsWith(line, "id:") &&
        absl::SimpleAtoi(absl::StripAsciiWhitespace(line.substr(3)), &id)) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<StreamEvent> EventSplitter::Next() {
  size_t end = pending_.find("\n\n");
  size_t separator_size = 2;
  const size_t crlf_end = pending_.find("\r\n\r\n");
  if (crlf_end != std::string::npos && (end == std::string::npos || crlf_end < end)) {
    end = crlf_end;
    separator_size = 4;
  }
  if (end == std::string::npos) return std::nullopt;
  StreamEvent event;
  event.bytes = pending_.substr(0, end + separator_size);
  event.separator_size = separator_size;
  event.id = EventId(absl::string_view(event.bytes).substr(0, end));
  pending_.erase(0, end + separator_size);
  return event;
}

}  // namespace fuchsiaweir
