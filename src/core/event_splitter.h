#ifndef FUCHSIAWEIR_CORE_EVENT_SPLITTER_H_
#define FUCHSIAWEIR_CORE_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// One server-sent event.
struct StreamEvent {
  std::optional<int64_t> id;
  std::string bytes;          ///< As received, with the blank line that ends the event.
  size_t separator_size = 0;  ///< Size of the line ends that follow the last line, in bytes.
};

/// Splits a stream of server-sent events into complete events, so that a caller never receives the
/// start of an event from one runner and the rest from another.
class EventSplitter {
 public:
  void Add(std::string_view bytes) { pending_ += bytes; }

  /// Returns the next complete event, or nullopt if none is buffered.
  std::optional<StreamEvent> Next();

  /// Size of the incomplete event in the buffer, once `Next` has returned nothing.
  size_t PartialBytes() const { return pending_.size(); }
  /// Returns whether the buffer ends with part of an event.
  bool HasPartialEvent() const { return !pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_EVENT_SPLITTER_H_
