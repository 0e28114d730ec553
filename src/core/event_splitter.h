#ifndef FUCHSIAWEIR_CORE_EVENT_SPLITTER_H_
#define FUCHSIAWEIR_CORE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// One server-sent event with its bytes as they came.
struct StreamEvent {
  std::optional<int64_t> id;
  std::string bytes;
};

/// Cuts an event stream into whole events, so that a caller never gets part of an event whose rest
/// another runner would send.
class EventSplitter {
 public:
  void Add(std::string_view bytes) { pending_ += bytes; }

  /// Returns the next whole event, or nothing.
  std::optional<StreamEvent> Next();

  /// Whether bytes of an incomplete event are left.
  bool HasPartialEvent() const { return !pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_EVENT_SPLITTER_H_
