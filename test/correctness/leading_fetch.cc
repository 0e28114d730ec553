#include "core/leading_fetch.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "property.h"

namespace fuchsiaweir {
namespace {

LeadingFetchRequest ArbitraryRequest() {
  LeadingFetchRequest request;
  request.block_tokens = *rc::gen::inRange<int64_t>(1, 3000);
  request.rest_tokens = *rc::gen::inRange<int64_t>(1, 3000);
  request.copies.resize(*rc::gen::inRange<size_t>(1, 8));
  for (BlockCopy& copy : request.copies) {
    copy.bytes = *rc::gen::inRange<int64_t>(1, 4000);
    copy.link = *rc::gen::inRange<size_t>(0, 2);
  }
  return request;
}

std::vector<LinkState> ArbitraryLinks() {
  std::vector<LinkState> links(2);
  for (LinkState& link : links) {
    link.queued_bytes = *rc::gen::inRange<int64_t>(0, 4000);
    link.bytes_per_second = *rc::gen::element(0.0, 500.0, 8000.0, 100'000.0);
    link.latency = Millis(*rc::gen::inRange(0, 20));
  }
  return links;
}

}  // namespace

TEST_GROUP(LeadingFetch){};

// Guards against a wait that is longer than recomputing or far longer than the expected arrival.
TEST(LeadingFetch, WaitsNoLongerThanRecomputingAndLittleBeyondTheArrival) {
  CheckProperty("wait_limit is bounded", [] {
    const LeadingFetchRequest request = ArbitraryRequest();
    const PrefillState prefill{*rc::gen::element<int64_t>(0, 3000), 4000.0};
    const LeadingFetch fetch = PlanLeadingFetch(request, ArbitraryLinks(), prefill, Seconds(10));
    const auto blocks = static_cast<int64_t>(fetch.blocks);
    const int64_t tokens = prefill.backlog_tokens + blocks * request.block_tokens;
    RC_ASSERT(fetch.blocks <= request.copies.size());
    RC_ASSERT(fetch.wait_limit <= Micros(tokens * 250));
    RC_ASSERT(fetch.wait_limit <= fetch.arrival + fetch.arrival / 4 + Millis(20));
    RC_ASSERT(fetch.blocks == 0 || fetch.arrival < Micros(tokens * 250));
  });
}

// Guards against recomputing all blocks because prefill in parallel with the fetch would be faster,
// which the engine does not support.
TEST(LeadingFetch, FetchesTheBlocksWhenTheLinkIsTwiceAsFastAsPrefill) {
  LeadingFetchRequest request;
  request.block_tokens = 1000;
  request.rest_tokens = 10;
  request.copies.assign(10, BlockCopy{1000, 0});
  const LeadingFetch fetch =
      PlanLeadingFetch(request, {{0, 2000.0, Duration(0)}}, {0, 1000.0}, Seconds(60));
  LONGS_EQUAL(10, fetch.blocks);
  CHECK(fetch.arrival == Seconds(5));
}

// Guards against waiting for a fetch over a link that is down.
TEST(LeadingFetch, StopsBeforeTheFirstBlockOnADeadLink) {
  LeadingFetchRequest request;
  request.block_tokens = 1000;
  request.copies = {{10, 0}, {10, 1}, {10, 0}};
  const std::vector<LinkState> links = {{0, 1e6, Millis(1)}, {0, 0.0, Millis(1)}};
  LONGS_EQUAL(1, PlanLeadingFetch(request, links, {0, 1000.0}, Seconds(60)).blocks);
}

}  // namespace fuchsiaweir
