#include "core/stream_assembly.h"

#include <CppUTest/TestHarness.h>

#include <limits>

#include "choices.h"
#include "core/progress_deadline.h"
#include "core/run_table.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr int kLength = 12;

std::vector<std::string> Output(const std::string& run, int64_t from, int64_t to) {
  std::vector<std::string> tokens;
  for (int64_t i = from; i < to; ++i) tokens.push_back(run + std::to_string(i));
  return tokens;
}

}  // namespace

TEST_GROUP(StreamAssembly){};

// Guards against an answer that mixes runs or attempts, repeats, loses or truncates tokens.
// Attempts differ in their text, so that a late frame of an earlier attempt would show.
TEST(StreamAssembly, CrossedFramesGiveTheExactOutputOrAnError) {
  CheckProperty("delivered tokens are exact", [](uint32_t seed, uint8_t steps) {
    Choices choices(seed);
    StreamAssembly stream("a", 1);
    std::vector<std::string> expected;
    std::vector<std::string> delivered;
    for (int step = 0; step < steps; ++step) {
      const bool own = !choices.OneIn(5);
      const int64_t attempt = 1 + choices.Below(static_cast<int>(stream.attempt()));
      const std::string text = (own ? "a" : "b") + std::to_string(attempt) + ".";
      Frame frame;
      frame.run = own ? "a" : "b";
      frame.attempt = attempt;
      frame.offset = choices.Below(kLength + 1);
      const int64_t end =
          frame.offset + choices.Below(static_cast<int>(kLength + 1 - frame.offset));
      frame.tokens = Output(text, frame.offset, end);
      frame.done = end == kLength;
      if (choices.OneIn(20)) {
        frame.done = false;
        frame.error = Error{ErrorCode::kTargetFailed, RunState::kRan, "engine ended", {}};
      }
      const int64_t position = stream.position();
      const Delivery delivery = stream.Accept(frame);
      if (!delivery.tokens.empty()) {
        RC_ASSERT(own && attempt == stream.attempt());
        for (const std::string& token : Output(text, position, end)) expected.push_back(token);
      }
      delivered.insert(delivered.end(), delivery.tokens.begin(), delivery.tokens.end());
      RC_ASSERT(delivered == expected);
      RC_ASSERT(stream.position() == static_cast<int64_t>(delivered.size()));
      if (choices.OneIn(15)) stream.Resume(stream.attempt() + 1);
    }
    RC_ASSERT(stream.complete() == (delivered.size() == kLength && stream.End().has_value()));
  });
}

// Guards against an arithmetic overflow by the offset of a hostile frame.
TEST(StreamAssembly, ExtremeOffsetsAreGaps) {
  StreamAssembly stream("a", 1);
  for (const int64_t offset : {std::numeric_limits<int64_t>::max(), int64_t{-1}}) {
    Frame frame;
    frame.run = "a";
    frame.attempt = 1;
    frame.offset = offset;
    frame.tokens = {"x"};
    CHECK(stream.Accept(frame).verdict == FrameVerdict::kGap);
  }
}

TEST_GROUP(RunTable){};

// Guards against loss or repetition of output when connections go silent and entries attach
// again, and against a late detach of the silent connection that ends the new one's attendance.
TEST(RunTable, AttachingAgainLosesNothing) {
  CheckProperty("reattached output is exact", [](uint32_t seed) {
    Choices choices(seed);
    RunTable table({.max_runs = 2, .max_run_bytes = 1 << 16, .attach_window = Seconds(10)});
    StreamAssembly stream("a", 1);
    std::vector<std::string> delivered;
    RC_ASSERT(table.Open("a", 1, 0, TimePoint{}).has_value());
    RunTable::ReaderId reader = table.Attach("a", 1, 0).value();
    RunTable::ReaderId silent = 0;
    int64_t produced = 0;
    for (int step = 0; step < 2000 && !stream.complete(); ++step) {
      const int choice = choices.Below(4);
      if (choice == 0 && produced < kLength) {
        RC_ASSERT(table.Append("a", 1, Output("a", produced, produced + 1)).has_value());
        if (++produced == kLength) table.Finish("a", 1, "stop", {});
      } else if (choice == 1) {
        const auto frame = table.Read("a", 1, reader).value();
        const bool lost = choices.OneIn(3);
        if (lost) {
          silent = reader;
          reader = table.Attach("a", 1, stream.position()).value();
        } else if (frame) {
          const Delivery delivery = stream.Accept(*frame);
          RC_ASSERT(delivery.verdict == FrameVerdict::kAccepted);
          delivered.insert(delivered.end(), delivery.tokens.begin(), delivery.tokens.end());
        }
      } else if (choice == 2 && silent != 0) {
        RC_ASSERT(table.Read("a", 1, silent).has_error());
        table.Detach("a", 1, silent, TimePoint{});
        RC_ASSERT(table.Expire(TimePoint{} + Seconds(60)).empty());
      }
    }
    RC_ASSERT(delivered == Output("a", 0, kLength));
  });
}

// Guards against runs that occupy the engine after their caller has gone, and against unbounded
// buffers.
TEST(RunTable, UnattendedRunsExpireAndBuffersAreBounded) {
  RunTable table({.max_runs = 1, .max_run_bytes = 100, .attach_window = Seconds(10)});
  CHECK(table.Open("a", 1, 5, TimePoint{}).has_value());
  CHECK(table.Open("b", 1, 0, TimePoint{}).error().run_state == RunState::kNotRun);
  CHECK(table.Open("a", 1, 5, TimePoint{}).has_error());
  CHECK(table.Expire(TimePoint{} + Seconds(9)).empty());
  CHECK((table.Expire(TimePoint{} + Seconds(10)) == std::vector<RunAttempt>{{"a", 1}}));

  CHECK(table.Open("a", 2, 5, TimePoint{}).has_value());
  CHECK((table.Open("a", 3, 7, TimePoint{}).value() == RunAttempt{"a", 2}));
  CHECK(table.Append("a", 2, {"late"}).has_error());
  CHECK(table.Attach("a", 3, 6).has_error());
  CHECK(table.Append("a", 3, {std::string(200, 'x')}).has_error());
  CHECK_EQUAL(0U, table.size());
}

TEST_GROUP(ProgressDeadline){};

// Guards against a hop that stays silent, or sends only heartbeats and goes silent again, and
// holds the caller's request beyond its bound.
TEST(ProgressDeadline, SilentHopIsLeftInBoundedTime) {
  CheckProperty("a hop without tokens ends within its limits", [](bool lossy, uint32_t seed) {
    Choices choices(seed);
    const ProgressRules rules;
    const TimePoint deadline = TimePoint{} + Seconds(60);
    TimePoint now{};
    ProgressDeadline hop(rules, now, deadline);
    int reconnects = 0;
    HopAction action = HopAction::kWait;
    for (int step = 0; step < 100 && action != HopAction::kGiveUp; ++step) {
      now = std::max(now, hop.wake_at());
      action = hop.Next(now);
      if (action != HopAction::kReconnect) continue;
      ++reconnects;
      if (lossy) hop.OnConnectionLost();
      if (choices.OneIn(2)) hop.OnBytesReceived(now);
    }
    RC_ASSERT(action == HopAction::kGiveUp);
    RC_ASSERT(reconnects <= rules.max_reconnects);
    RC_ASSERT(now <= deadline);
  });
}

// Guards against giving up a hop that makes progress.
TEST(ProgressDeadline, ProgressingHopIsKept) {
  ProgressDeadline hop({}, TimePoint{}, TimePoint{} + Seconds(60));
  for (int second = 4; second < 60; second += 4) {
    CHECK(hop.Next(TimePoint{} + Seconds(second)) == HopAction::kWait);
    hop.OnTokenReceived(TimePoint{} + Seconds(second));
  }
  CHECK(hop.Next(TimePoint{} + Seconds(60)) == HopAction::kGiveUp);
}

}  // namespace fuchsiaweir
