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

// A plan that recomputes less may end later than the fastest by this part of its time, because
// the prefill that it saves shortens the queue of the other requests.
constexpr int64_t kToleranceDivisor = 16;

// An idle runner waits for fetches up to this part of the prompt's prefill time. Without the wait
// prefill of the first blocks started beside their fetch and recomputed them.
// Of 2, 4 and 8 the last recomputed 5 to 12% more tokens, the first no fewer.
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
    slot_ = runs.empty() ? Duration(0) : recompute_from_.front();
  }

  // Computes the runs before `first` and fetches each later one that arrives before prefill would
  // be through it. By induction each run is ready no later than without any fetch.
  FetchPlan Plan(size_t first) const {
    FetchPlan plan;
    plan.recompute_finish = recompute_finish_;
    plan.wait = wait_;
    std::vector<int64_t> link_bytes(links_.size(), 0);
    Duration ready{0};
    for (size_t i = 0; i < runs_.size(); ++i) {
      RunPlan run = PlanRun(i, i >= first, ready, link_bytes);
      ready = run.ready;
      if (run.action == RunAction::kRecompute) plan.recomputed_tokens += runs_[i].tokens;
      const bool fetch = run.action == RunAction::kFetch || run.action == RunAction::kRace;
      if (fetch) {
        plan.fetched_bytes += runs_[i].bytes;
        link_bytes[runs_[i].link] += runs_[i].bytes;
      }
      plan.runs.push_back(run);
    }
    // The engine computes at least the last token, so no prompt overtakes the backlog.
    plan.finish = std::max(ready, slot_);
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
    plan.prefill_start = std::max(ready, slot_);
    plan.ready = Add(plan.prefill_start, compute_[i]);
    if (!may_fetch || run.source != BlockSource::kRemote || run.link >= links_.size()) return plan;
    const LinkState& link = links_[run.link];
    const int64_t ahead = link.queued_bytes + link_bytes[run.link];
    const Duration arrival = Add(link.latency, TimeFor(ahead + run.bytes, link.bytes_per_second));
    if (arrival >= plan.ready) return plan;
    plan.arrival = arrival;
    plan.ready = std::max(ready, arrival);
    // Prefill of the rest from `latest` on ends `wait_` after recomputing the whole prompt would.
    // A fetch that takes longer gets no such credit, so prefill starts beside it.
    const Duration latest = Add(recompute_from_[i], wait_);
    const bool has_credit = arrival <= latest;
    plan.action = has_credit ? RunAction::kFetch : RunAction::kRace;
    if (has_credit) plan.prefill_start = latest;
    return plan;
  }

  const std::vector<BlockRun>& runs_;
  const std::vector<LinkState>& links_;
  std::vector<Duration> compute_;
  std::vector<Duration> recompute_from_;  ///< Start of each run when nothing is fetched.
  Duration recompute_finish_{0};
  Duration wait_{0};  ///< Added to `recompute_from_` while fetches are awaited.
  Duration slot_{0};  ///< When the backlog is done.
};

}  // namespace

std::string_view Name(RunAction action) { return NameIn(kActionNames, action); }

FetchPlan PlanFetch(const std::vector<BlockRun>& runs, const std::vector<LinkState>& links,
                    const PrefillState& prefill, Duration remaining) {
  const Planner planner(runs, links, prefill);
  // Prefill of the first runs and the fetch of the last ones use runner and link at the same time,
  // so each split between them is a candidate. The last one fetches nothing.
  std::vector<FetchPlan> plans;
  for (size_t first = 0; first <= runs.size(); ++first) {
    const bool remote = first < runs.size() && runs[first].source == BlockSource::kRemote;
    if (remote || first == runs.size()) plans.push_back(planner.Plan(first));
  }
  const auto fastest = std::min_element(
      plans.begin(), plans.end(), [](const auto& a, const auto& b) { return a.finish < b.finish; });
  const Duration tolerable = std::max(
      fastest->finish, std::min(fastest->finish + fastest->finish / kToleranceDivisor, remaining));
  FetchPlan* best = &*fastest;
  for (FetchPlan& plan : plans) {
    if (plan.finish > tolerable) continue;
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
