#include "core/frame.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(FrameCodec){};

// Guards against a codec that loses tokens, usage figures or the error of a frame.
TEST(FrameCodec, DecodesWhatItEncodes) {
  CheckProperty("decode(encode(frame)) == frame", [](bool done, bool failed) {
    Frame frame;
    frame.run = *rc::gen::string<std::string>();
    frame.attempt = *rc::gen::inRange(1, 100);
    frame.offset = *rc::gen::inRange(0, 100'000);
    frame.tokens = *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());
    frame.done = done;
    if (done) {
      frame.finish = "stop";
      frame.usage.fetched_tokens = *rc::gen::inRange(0, 100'000);
    }
    if (failed)
      frame.error = Error{ErrorCode::kTargetCrashed, RunState::kUnknown, "", Millis(7), "r1/7"};

    const Result<Frame> decoded = DecodeFrame(EncodeFrame(frame));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().run == frame.run);
    RC_ASSERT(decoded.value().attempt == frame.attempt);
    RC_ASSERT(decoded.value().offset == frame.offset);
    RC_ASSERT(decoded.value().tokens == frame.tokens);
    RC_ASSERT(decoded.value().done == done);
    RC_ASSERT(decoded.value().usage == frame.usage);
    RC_ASSERT(decoded.value().error.has_value() == failed);
    if (failed) RC_ASSERT(decoded.value().error->retry_after == Millis(7));
    if (failed) RC_ASSERT(decoded.value().error->crashed_instance == "r1/7");
  });
}

// Guards against a process that terminates on malformed input from a peer.
TEST(FrameCodec, ArbitraryInputIsDecodedOrRejected) {
  CheckProperty("arbitrary text never causes an exception", [](const std::string& line) {
    RC_ASSERT(DecodeFrame(line).has_value() || DecodeFrame(line).has_error());
  });
}

}  // namespace fuchsiaweir
