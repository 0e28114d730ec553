#include "core/event_splitter.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(EventSplitter){};

// Guards against passing on a partial event that another runner's response would follow, and
// against lost or changed bytes, for any division of the stream into reads.
TEST(EventSplitter, ReturnsCompleteEventsForAnyReads) {
  CheckProperty("events do not depend on the division into reads", [] {
    const int count = *rc::gen::inRange(1, 12);
    const std::string newline = *rc::gen::element<std::string>("\n", "\r\n");
    std::string stream;
    for (int i = 1; i <= count; ++i) {
      stream += "id: " + std::to_string(i) + newline + "data: t" +
                std::string(*rc::gen::inRange(0, 30), 'x') + newline + newline;
    }
    const std::string tail = *rc::gen::element<std::string>("", "id: 99\ndata: cut");
    const std::string all = stream + tail;
    EventSplitter splitter;
    std::string joined;
    int64_t last = 0;
    for (size_t begin = 0; begin < all.size();) {
      const size_t size = std::min<size_t>(all.size() - begin, *rc::gen::inRange(1, 25));
      splitter.Add(std::string_view(all).substr(begin, size));
      begin += size;
      while (std::optional<StreamEvent> event = splitter.Next()) {
        RC_ASSERT(event->id == last + 1);
        last = *event->id;
        joined += event->bytes;
      }
    }
    RC_ASSERT(joined == stream);
    RC_ASSERT(last == count);
    RC_ASSERT(splitter.HasPartialEvent() == !tail.empty());
  });
}

// Guards against a stream that stops at a comment or at an event without a valid id.
TEST(EventSplitter, AnEventNeedsNoId) {
  EventSplitter splitter;
  splitter.Add(": comment\n\nid: x\ndata: 1\n\n");
  CHECK_FALSE(splitter.Next()->id.has_value());
  CHECK_FALSE(splitter.Next()->id.has_value());
  CHECK_FALSE(splitter.Next().has_value());
}

}  // namespace fuchsiaweir
