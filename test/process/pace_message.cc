#include <CppUTest/TestHarness.h>

#include <string>
#include <variant>

#include "gateway/peer_link.h"

namespace fuchsiaweir {

TEST_GROUP(PaceMessage){};

// Guards against load messages of processes that know no pace, which would be malformed, and
// against a pace out of range, whose sums would overflow.
TEST(PaceMessage, ThePaceIsOptionalAndBounded) {
  LoadMessage sent{Endpoint{"10.0.0.1", 80}, EngineReport{}};
  const std::string without = EncodePeerMessage(sent);
  CHECK(without.find("pace") == std::string::npos);
  CHECK(std::get<LoadMessage>(*DecodePeerMessage(without)).report->pace == Duration{0});
  LONGS_EQUAL(0, std::get<LoadMessage>(*DecodePeerMessage(without)).report->reading);
  sent.report->pace = Micros(23'456);
  sent.report->reading = 3;
  const std::string with = EncodePeerMessage(sent);
  CHECK(std::get<LoadMessage>(*DecodePeerMessage(with)).report->pace == Micros(23'456));
  LONGS_EQUAL(3, std::get<LoadMessage>(*DecodePeerMessage(with)).report->reading);
  sent.report->pace = Micros(int64_t{1} << 50);
  const std::string huge = EncodePeerMessage(sent);
  CHECK(std::get<LoadMessage>(*DecodePeerMessage(huge)).report->pace == Seconds(60));
}

}  // namespace fuchsiaweir
