#include "core/fetch_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/enum_names.h"

namespace fuchsiaweir {
namespace {

constexpr EnumNames<RunAction, 4> kActionNames = {{
    {RunAction::kUse, "use"},
    {RunAction::kFetch, "fetch"},
    {RunAction::kRecompute, "recompute"},
    {RunAction::kRace, "race"},
}};

// A plan that recomputes fewer tokens may finish later than the fastest plan by 1/16 of the fastest
// finish time, because the prefill that it saves shortens the queue for other requests.
constexpr int64_t kToleranceDivisor = 16;

// An idle runner waits for fetches for up to 1/4 of the prompt's prefill time. Without the wait,
// prefill recomputes the first blocks while their fetch is still in flight. A divisor of 8
// recomputes 5 to 12% more tokens; a divisor of 2 recomputes no fewer.
constexpr int64_t kWaitDivisor = 4;

Duration TimeFor(int64_t amount, double per_second) {
  if (amount <= 0) return Duration(0);
  if (per_second <= 0) return kNever;
  const double micros = std::ceil(static_cast<double>(amount) / per_second * 1e6);
  if (micros >= static_cast<double>(kNever.count())) return kNever;
  return Duration(static_cast<int64_t>(micros));
}

Duration Add(Duration a, Duration b) { return std::min(a + b, kNever); }

class Planner {
 public:
  Planner(const std::vector<BlockRun>& runs, const std::vector<LinkState>& links,
          const PrefillState& prefill)
      : runs_(runs), links_(links) {
    Duration end = TimeFor(prefill.backlog_tokens, prefill.tokens_per_second);
    for (const BlockRun& run : runs) {
      const bool resident = run.source == BlockSource::kResident;
      compute_.push_back(resident ? Duration(0) : TimeFor(run.tokens, prefill.tokens_per_second));
      recompute_from_.push_back(end);
      end = Add(end, compute_.back());
    }
    recompute_finish_ = end;
    for (const Duration compute : compute_) wait_ = Add(wait_, compute);
    wait_ /= kWaitDivisor;
    backlog_end_ = runs.empty() ? Duration(0) : recompute_from_.front();
  }

  // Plans to recompute the runs before `split` and to fetch each later run that is expected to
  // arrive before prefill would complete it. By induction, each run is ready no later than without
  // any fetch.
  FetchPlan Plan(size_t split) const {
    FetchPlan plan;
    plan.recompute_finish = recompute_finish_;
    plan.wait = wait_;
    std::vector<int64_t> link_bytes(links_.size(), 0);
    Duration ready{0};
    for (size_t i = 0; i < runs_.size(); ++i) {
      RunPlan run = PlanRun(i, i >= split, ready, link_bytes);
      ready = run.ready;
      if (run.action == RunAction::kRecompute) plan.recomputed_tokens += runs_[i].tokens;
      const bool fetch = run.action == RunAction::kFetch || run.action == RunAction::kRace;
      if (fetch) {
        plan.fetched_bytes += runs_[i].bytes;
        link_bytes[runs_[i].link] += runs_[i].bytes;
      }
      plan.runs.push_back(run);
    }
    // The engine computes at least the last token, so no prompt finishes before the backlog does.
    plan.finish = std::max(ready, backlog_end_);
    return plan;
  }

 private:
  RunPlan PlanRun(size_t i, bool may_fetch, Duration ready,
                  const std::vector<int64_t>& link_bytes) const {
    const BlockRun& run = runs_[i];
    RunPlan plan;
    if (run.source == BlockSource::kResident) {
      plan.action = RunAction::kUse;
      plan.ready = ready;
      return plan;
    }
    plan.prefill_start = std::max(ready, backlog_end_);
    plan.ready = Add(plan.prefill_start, compute_[i]);
    if (!may_fetch || run.source != BlockSource::kRemote || run.link >= links_.size()) return plan;
    const LinkState& link = links_[run.link];
    const int64_t ahead = link.queued_bytes + link_bytes[run.link];
    const Duration arrival = Add(link.latency, TimeFor(ahead + run.bytes, link.bytes_per_second));
    if (arrival >= plan.ready) return plan;
    plan.arrival = arrival;
    plan.ready = std::max(ready, arrival);
    // Prefill that starts at `latest` finishes `wait_` later than recomputing the whole prompt. A
    // fetch that arrives later is not waited for, so prefill runs in parallel with it.
    const Duration latest = Add(recompute_from_[i], wait_);
    const bool in_time = arrival <= latest;
    plan.action = in_time ? RunAction::kFetch : RunAction::kRace;
    if (in_time) plan.prefill_start = latest;
    return plan;
  }

  const std::vector<BlockRun>& runs_;
  const std::vector<LinkState>& links_;
  std::vector<Duration> compute_;
  std::vector<Duration> recompute_from_;  ///< Prefill start of each run when nothing is fetched.
  Duration recompute_finish_{0};
  Duration wait_{0};         ///< See `FetchPlan::wait`.
  Duration backlog_end_{0};  ///< Expected end of the backlog.
};

}  // namespace

std::string_view Name(RunAction action) { return NameIn(kActionNames, action); }

FetchPlan PlanFetch(const std::vector<BlockRun>& runs, const std::vector<LinkState>& links,
                    const PrefillState& prefill, Duration remaining) {
  const Planner planner(runs, links, prefill);
  // Recomputing the first runs while the last ones are fetched uses runner and link in parallel, so
  // each split point is a candidate plan. The last candidate fetches nothing.
  std::vector<FetchPlan> plans;
  for (size_t split = 0; split <= runs.size(); ++split) {
    const bool remote = split < runs.size() && runs[split].source == BlockSource::kRemote;
    if (remote || split == runs.size()) plans.push_back(planner.Plan(split));
  }
  const auto fastest = std::min_element(
      plans.begin(), plans.end(), [](const auto& a, const auto& b) { return a.finish < b.finish; });
  const Duration max_finish = std::max(
      fastest->finish, std::min(fastest->finish + fastest->finish / kToleranceDivisor, remaining));
  FetchPlan* best = &*fastest;
  for (FetchPlan& plan : plans) {
    if (plan.finish > max_finish) continue;
    if (plan.recomputed_tokens < best->recomputed_tokens) best = &plan;
  }
  best->meets_deadline = best->finish <= remaining;
  return std::move(*best);
}

FetchVerdict EvaluateFetch(const FetchProgress& progress) {
  const Duration arrival = TimeFor(progress.bytes_left, progress.bytes_per_second);
  const Duration computed =
      Add(std::max(progress.runner_available_in, Duration(0)), progress.prefill_left);
  if (arrival >= computed) return FetchVerdict::kStop;
  if (progress.prefill_start <= Duration(0)) return FetchVerdict::kRace;
  return FetchVerdict::kWait;
}

}  // namespace fuchsiaweir
