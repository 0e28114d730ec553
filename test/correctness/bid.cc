#include "core/bid.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {
namespace {

const BidRequest kRequest{"kyushu", "m", {"aa", "bb"}, 20'000, 100, 1, 600'000};

RunnerLoad AnyLoad() {
  RunnerLoad load;
  load.runner = "r1";
  load.model = "m";
  load.queue_items = *rc::gen::inRange(0, 3);
  load.queue_tokens = *rc::gen::inRange(0, 20'000);
  load.limit = *rc::gen::inRange(1, 16);
  load.running = *rc::gen::inRange<int64_t>(0, load.limit + 1);
  load.resident_blocks = *rc::gen::inRange(0, 6);
  load.fetchable_blocks = *rc::gen::inRange(0, 5);
  load.link_queue_bytes = *rc::gen::inRange<int64_t>(0, 10'000'000'000);
  return load;
}

}  // namespace

TEST_GROUP(Bid){};

// Guards against estimates that send work to a runner because it has more work or fewer blocks.
TEST(Bid, EstimateIsMonotonicInLoadAndReuse) {
  CheckProperty("more backlog or fewer blocks never lower the estimate", [] {
    const RunnerLoad load = AnyLoad();
    const auto estimate = [](const RunnerLoad& l) {
      return MakeBid({"t", "m", {}, 20'000, 1, 1, 86'400'000}, l).value().estimate;
    };
    RunnerLoad other = load;
    other.queue_tokens += 8000;
    RC_ASSERT(estimate(other) >= estimate(load));
    other = load;
    ++other.running;
    RC_ASSERT(estimate(other) >= estimate(load));
    other = load;
    other.limit += 1;
    RC_ASSERT(estimate(other) <= estimate(load));
    other = load;
    other.resident_blocks += 1;
    RC_ASSERT(estimate(other) <= estimate(load));
    other = load;
    other.link_queue_bytes += 1'000'000'000;
    RC_ASSERT(estimate(other) >= estimate(load));
    other.fetchable_blocks = 0;
    // A fetch is never planned when computing the blocks is sooner.
    RC_ASSERT(estimate(load) <= estimate(other));
  });
}

// Guards against wrong units: 20,000 tokens at 8,000 tokens/s take 2.5 s, and blocks shorten that.
TEST(Bid, EstimateOfKnownLoads) {
  RunnerLoad load;
  load.runner = "r1";
  load.model = "m";
  LONGS_EQUAL(2'500'000, MakeBid(kRequest, load).value().estimate.count());
  load.resident_blocks = 4;
  LONGS_EQUAL(1'500'000, MakeBid(kRequest, load).value().estimate.count());
  load.fetchable_blocks = 4;
  load.block_bytes = 50'000'000;  // 0.2 s for four blocks.
  LONGS_EQUAL(700'000, MakeBid(kRequest, load).value().estimate.count());
  load.queue_tokens = 8000;  // The fetch ends within this second.
  LONGS_EQUAL(1'500'000, MakeBid(kRequest, load).value().estimate.count());
  load.running = 1;
  load.mean_run = Seconds(3);
  LONGS_EQUAL(3'500'000, MakeBid(kRequest, load).value().estimate.count());
}

// Guards against waiting for a slow link longer than computing the blocks takes.
TEST(Bid, DoesNotFetchOverASlowLink) {
  RunnerLoad load;
  load.runner = "r1";
  load.model = "m";
  load.fetchable_blocks = 4;
  load.link_queue_bytes = 5'000'000'000;
  const Bid bid = MakeBid(kRequest, load).value();
  LONGS_EQUAL(2'500'000, bid.estimate.count());
  LONGS_EQUAL(0, bid.fetchable);
}

// Guards against a bid for work that the runner cannot or must not take.
TEST(Bid, RefusesWithReason) {
  RunnerLoad load;
  load.runner = "r1";
  load.model = "m";
  const auto code = [](const RunnerLoad& l) {
    const auto bid = MakeBid({"t", "m", {}, 8000, 1, 1, 1500}, l);
    CHECK(bid.has_value() || bid.error().run_state == RunState::kNotRun);
    return bid.has_value() ? std::string("bid") : std::string(Name(bid.error().code));
  };
  CHECK_EQUAL(std::string("bid"), code(load));
  RunnerLoad other = load;
  other.in_service = false;
  CHECK_EQUAL(std::string("out_of_service"), code(other));
  other = load;
  other.model = "n";
  CHECK_EQUAL(std::string("unknown_model"), code(other));
  other = load;
  other.queue_items = other.max_queue;
  CHECK_EQUAL(std::string("overloaded"), code(other));
  other = load;
  other.running = 1;
  CHECK_EQUAL(std::string("cold"), code(other));
  other = load;
  other.queue_tokens = 8000;
  CHECK_EQUAL(std::string("overloaded"), code(other));
}

// Guards against a codec that loses fields or microseconds of the estimate.
TEST(Bid, DecodesWhatItEncodes) {
  CheckProperty("decode(encode(x)) == x", [] {
    BidRequest request = kRequest;
    request.prompt_tokens = *rc::gen::inRange(0, 1'000'000);
    request.blocks = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'g')));
    RC_ASSERT(DecodeBidRequest(EncodeBidRequest(request)).value() == request);
    const Bid bid{"r1", Micros(*rc::gen::inRange(0, 1'000'000'000)), 3, 2, 7};
    const std::vector<Bid> bids{bid, Bid{"r2"}};
    RC_ASSERT(DecodeBidResponse(EncodeBidResponse(bids)).value() == bids);
  });
  const Error refusal{ErrorCode::kCold, RunState::kNotRun, "cold", Millis(9)};
  const auto decoded = DecodeBidResponse(EncodeBidResponse(refusal));
  CHECK(decoded.error().code == ErrorCode::kCold);
  CHECK(decoded.error().retry_after == Millis(9));
}

// Guards against malformed input from a peer that ends the process.
TEST(Bid, ArbitraryInputIsDecodedOrRejected) {
  CheckProperty("arbitrary text never escapes as an exception", [](const std::string& body) {
    RC_ASSERT(DecodeBidRequest(body).has_value() || DecodeBidRequest(body).has_error());
    RC_ASSERT(DecodeBidResponse(body).has_value() || DecodeBidResponse(body).has_error());
  });
  CHECK(DecodeBidResponse(R"({"bids":[{"runner":1}]})").has_error());
  CHECK(DecodeBidRequest("[]").has_error());
}

}  // namespace fuchsiaweir
