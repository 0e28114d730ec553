#include "core/fetch_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kStep = Millis(10);

std::vector<BlockRun> ArbitraryRuns() {
  std::vector<BlockRun> runs(*rc::gen::inRange<size_t>(1, 8));
  for (BlockRun& run : runs) {
    run.source = *rc::gen::element(BlockSource::kResident, BlockSource::kRemote,
                                   BlockSource::kRemote, BlockSource::kMissing);
    run.tokens = *rc::gen::inRange<int64_t>(1, 4000);
    run.bytes = *rc::gen::inRange<int64_t>(1, 4000);
    run.link = *rc::gen::inRange<size_t>(0, 3);  // Index 2 has no link.
  }
  return runs;
}

std::vector<LinkState> ArbitraryLinks() {
  std::vector<LinkState> links(2);
  for (LinkState& link : links) {
    link.queued_bytes = *rc::gen::inRange<int64_t>(0, 8000);
    link.bytes_per_second = *rc::gen::element(0.0, 500.0, 8000.0, 100'000.0);
    link.latency = Millis(*rc::gen::inRange(0, 20));
  }
  return links;
}

PrefillState ArbitraryPrefill() {
  return {*rc::gen::element<int64_t>(0, 0, 3000, 50'000),
          *rc::gen::element(2000.0, 8000.0, 20'000.0)};
}

}  // namespace

TEST_GROUP(FetchPlan){};

// Guards against a plan that is expected to finish later than recomputing, for the whole prompt or
// any prefix of it.
TEST(FetchPlan, NeverExpectedLaterThanRecompute) {
  CheckProperty("finish <= recompute_finish", [] {
    const auto runs = ArbitraryRuns();
    const PrefillState prefill = ArbitraryPrefill();
    const FetchPlan plan =
        PlanFetch(runs, ArbitraryLinks(), prefill, Millis(*rc::gen::inRange(0, 10'000)));
    const FetchPlan recompute = PlanFetch(runs, {}, prefill, Duration(0));
    RC_ASSERT(plan.runs.size() == runs.size());
    RC_ASSERT(plan.finish <= plan.recompute_finish);
    RC_ASSERT(plan.recompute_finish == recompute.finish);
    for (size_t i = 0; i < runs.size(); ++i) {
      RC_ASSERT(plan.runs[i].ready <= recompute.runs[i].ready);
      const bool fetch =
          plan.runs[i].action == RunAction::kFetch || plan.runs[i].action == RunAction::kRace;
      RC_ASSERT(!fetch || (runs[i].source == BlockSource::kRemote && runs[i].link < 2));
    }
  });
}

// Guards against a request that waits for a fetch which slows down, stalls or fails after planning.
// The links run at rates other than planned; the runner follows the plan and EvaluateFetch.
TEST(FetchPlan, FailingFetchesEndNoLaterThanRecompute) {
  CheckProperty("actual finish <= recompute_finish + wait + one step per run", [] {
    const auto runs = ArbitraryRuns();
    const auto links = ArbitraryLinks();
    const PrefillState prefill = ArbitraryPrefill();
    const FetchPlan plan = PlanFetch(runs, links, prefill, Seconds(60));
    const double factor = *rc::gen::element(0.0, 0.1, 0.5, 1.0, 3.0);
    const bool estimate_follows = *rc::gen::arbitrary<bool>();
    const Duration limit = plan.recompute_finish + plan.wait + Seconds(1);
    const Duration backlog(static_cast<int64_t>(static_cast<double>(prefill.backlog_tokens) /
                                                prefill.tokens_per_second * 1e6));
    Duration now{0};
    std::vector<int64_t> ahead = {links[0].queued_bytes, links[1].queued_bytes};
    for (size_t i = 0; i < runs.size(); ++i) {
      const RunPlan& run = plan.runs[i];
      if (run.action == RunAction::kUse) continue;
      Duration left(static_cast<int64_t>(static_cast<double>(runs[i].tokens) /
                                         prefill.tokens_per_second * 1e6));
      bool fetching = run.action != RunAction::kRecompute;
      bool computing = !fetching;
      if (fetching) ahead[runs[i].link] += runs[i].bytes;
      while (left > Duration(0) && now < limit) {
        if (fetching) {
          const double rate = links[runs[i].link].bytes_per_second * factor;
          const double done = rate * ToSeconds(now);
          FetchProgress progress;
          progress.bytes_left = ahead[runs[i].link] - static_cast<int64_t>(done);
          // The estimate may still be the planned rate.
          progress.bytes_per_second =
              estimate_follows ? rate : links[runs[i].link].bytes_per_second;
          progress.prefill_left = left;
          progress.runner_available_in = backlog - now;
          progress.prefill_start = run.prefill_start - now;
          if (progress.bytes_left <= 0) break;
          const FetchVerdict verdict = EvaluateFetch(progress);
          fetching = verdict != FetchVerdict::kStop;
          computing = verdict != FetchVerdict::kWait;
        }
        if (computing && now >= backlog) left -= kStep;
        now += kStep;
      }
    }
    // The simulation rounds each run and the end of the backlog up to a whole step.
    RC_ASSERT(plan.wait <= (plan.recompute_finish - backlog) / 4 + Micros(1));
    RC_ASSERT(now <= plan.recompute_finish + plan.wait +
                         kStep * (static_cast<int64_t>(runs.size()) * 2 + 2));
  });
}

// Guards against plans that fetch nothing or everything when a mix of fetch and prefill is faster.
TEST(FetchPlan, UsesLinkAndPrefillTogether) {
  const std::vector<BlockRun> runs(8, {BlockSource::kRemote, 1000, 1000, 0});
  const PrefillState idle{0, 1000.0};
  const FetchPlan fast = PlanFetch(runs, {{0, 100'000.0, Duration(0)}}, idle, Seconds(60));
  LONGS_EQUAL(0, fast.recomputed_tokens);
  CHECK(fast.runs[0].action == RunAction::kFetch);
  CHECK(fast.runs[1].action == RunAction::kFetch);
  // A fetch that ends after a quarter of the prefill time is too late to wait for.
  const FetchPlan late = PlanFetch({runs[0]}, {{0, 2000.0, Duration(0)}}, idle, Seconds(60));
  CHECK(late.runs[0].action == RunAction::kRace);
  const FetchPlan dead = PlanFetch(runs, {{0, 0.0, Duration(0)}}, idle, Seconds(60));
  LONGS_EQUAL(8000, dead.recomputed_tokens);
  const FetchPlan equal = PlanFetch(runs, {{0, 1000.0, Duration(0)}}, idle, Seconds(60));
  LONGS_EQUAL(4000, ToMillis(equal.finish));
  // Fetching every run would end at 6.4 s.
  const FetchPlan mixed = PlanFetch(runs, {{0, 1250.0, Duration(0)}}, idle, Seconds(60));
  LONGS_EQUAL(4000, ToMillis(mixed.finish));
  LONGS_EQUAL(3000, mixed.recomputed_tokens);
  // Fetching one more run finishes at 4.17 s instead of 4 s and saves prefill, if the deadline
  // allows.
  const std::vector<LinkState> slower = {{0, 1200.0, Duration(0)}};
  LONGS_EQUAL(3000, PlanFetch(runs, slower, idle, Seconds(60)).recomputed_tokens);
  LONGS_EQUAL(4000, PlanFetch(runs, slower, idle, Millis(4100)).recomputed_tokens);
  // The fetch overlaps with the backlog entirely, so all prefill is saved without a race.
  const FetchPlan busy = PlanFetch(runs, {{0, 1000.0, Duration(0)}}, {8000, 1000.0}, Seconds(60));
  LONGS_EQUAL(0, busy.recomputed_tokens);
  CHECK(std::all_of(busy.runs.begin(), busy.runs.end(),
                    [](const RunPlan& run) { return run.action == RunAction::kFetch; }));
  CHECK(!PlanFetch(runs, {}, idle, Seconds(7)).meets_deadline);
  CHECK(PlanFetch(runs, {}, idle, Seconds(8)).meets_deadline);
}

// Guards against a late fetch that keeps occupying the link, and against stopping one that is in
// time.
TEST(FetchPlan, StopsAFetchThatPrefillOvertakes) {
  FetchProgress progress{1000, 1000.0, Seconds(2), Duration(0), Seconds(1)};
  CHECK(EvaluateFetch(progress) == FetchVerdict::kWait);
  progress.prefill_start = Duration(0);
  CHECK(EvaluateFetch(progress) == FetchVerdict::kRace);
  progress.bytes_per_second = 400.0;
  CHECK(EvaluateFetch(progress) == FetchVerdict::kStop);
  // The runner cannot start prefill yet, so the fetch is still expected to complete first.
  progress.runner_available_in = Seconds(1);
  CHECK(EvaluateFetch(progress) == FetchVerdict::kRace);
  progress.bytes_per_second = 0;
  CHECK(EvaluateFetch(progress) == FetchVerdict::kStop);
}

}  // namespace fuchsiaweir
