#include "core/placement.h"

#include <algorithm>
#include <array>
#include <limits>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// A prompt leaves its home runner when that has this much more load than the mean; the margin lets
/// a few requests more stand at a runner while all are nearly idle.
constexpr double kLoadFactor = 1.5;
constexpr double kLoadMargin = 0.15;
/// But at most this much more than the mean: where all are nearly full, a factor alone would let a
/// home collect a queue while others have none.
constexpr double kMostLoadMargin = 0.2;
/// Share of an engine's memory up to which requests of the highest priority are placed, and how
/// much less each lower priority gets. The rest is for tokens that the runs still generate.
constexpr double kMemoryHigh = 0.93;
constexpr double kMemoryStep = 0.05;
constexpr double kMemoryLeast = 0.7;
/// Slots count with this weight beside the share of the memory that is taken. Prompts differ in
/// size a hundredfold; memory shows the work that a runner holds, slots only the number of its
/// requests.
constexpr double kSlotWeight = 0.3;
/// Memory that a waiting request will take, as a share of the whole, where its size is unknown.
constexpr double kWaitingMemory = 0.02;
/// A runner that fails this share of its requests is used only when no other is left.
constexpr double kFailureHigh = 0.3;
/// A plain runner in another data centre is as good as one here that has this much more load.
constexpr double kDistanceLoad = 0.1;

/// A runner with replaced weights is as good as one with the named weights and this much more load.
/// Without the bound all requests would meet at the first runners that have the new weights.
constexpr double kOldWeightsLoad = 0.06;

/// Share of its output limit that a run still generates on average.
constexpr double kGrowthShare = 0.5;
/// From a placement until the report of the runner's host counts the request.
constexpr Duration kPlacementTransit = Millis(60);

constexpr Duration kRetryLoading = Millis(400);
constexpr Duration kRetryCold = Millis(700);
constexpr Duration kRetryFull = Millis(300);
constexpr Duration kRetryUnreachable = Millis(600);

constexpr std::array<std::string_view, 7> kRefusalNames = {
    "none", "no_runner", "closed", "loading", "cold", "full", "unreachable"};

struct Candidate {
  const std::string* id = nullptr;
  RunnerState* state = nullptr;
  double load = 0;  ///< Share of the slots and of the memory that is taken.
  uint64_t affinity = 0;
  bool doubtful = false;  ///< Fails many requests.
};

/// Keeps the refusal that ends soonest, as that is what the caller waits for.
void Note(Placement& placement, PlacementRefusal refusal, Duration retry_after) {
  if (placement.refusal == PlacementRefusal::kNone || retry_after < placement.retry_after) {
    placement.refusal = refusal;
    placement.retry_after = retry_after;
  }
}

double LoadShare(const PlacementQuery& query, const RunnerState& state, TimePoint now) {
  const int64_t gateways =
      query.gateways == nullptr ? 1 : static_cast<int64_t>(query.gateways->size());
  const double slots = static_cast<double>(std::max<int64_t>(1, state.record.slots));
  const double slot_share = state.Load(now, gateways) / slots;
  if (!state.ReportFresh(now) || state.report->memory_total <= 0) return slot_share;
  const double memory = static_cast<double>(state.report->memory_used + state.tokens_since_report) /
                        static_cast<double>(state.report->memory_total);
  return kSlotWeight * slot_share + memory +
         kWaitingMemory * static_cast<double>(state.report->waiting);
}

/// Load pattern: demand beyond the memory of all engines. An engine that runs out of memory
/// preempts runs and reads their prompts again, so that each request more lowers what it finishes.
/// Requests of lower priority stop earlier, which leaves the rest of the memory to the others.
bool FitsMemory(const PlacementQuery& query, const RunnerState& state, double unseen_per_s,
                TimePoint now) {
  if (!state.ReportFresh(now) || state.report->memory_total <= 0) return true;
  const EngineReport& report = *state.report;
  const int64_t mean = report.memory_used / std::max<int64_t>(1, report.running);
  const double unseen = unseen_per_s * ToSeconds(now - state.reported_at + kPlacementTransit);
  const double growth =
      kGrowthShare * query.demand.output_tokens * static_cast<double>(report.running);
  const double used = static_cast<double>(report.memory_used + report.waiting * mean +
                                          state.tokens_since_report + query.tokens) +
                      unseen + growth;
  const double limit =
      std::max(kMemoryLeast, kMemoryHigh - kMemoryStep * static_cast<double>(query.priority));
  // An engine without runs takes a request of any size that it can hold at all.
  return report.running + report.waiting == 0 ||
         used <= limit * static_cast<double>(report.memory_total);
}

/// Load pattern: many gateways fill the same engine between two of its reports. Returns the tokens
/// that all other gateways are expected to send in a second to each engine with room, if they see
/// about the demand that this one sees. The fewer engines have room, the more each of them gets.
double UnseenTokensPerSecond(const PlacementQuery& query, const RunnerRegistry& runner_registry,
                             TimePoint now) {
  if (query.gateways == nullptr || query.gateways->size() < 2) return 0;
  int64_t engines = 0;
  for (const auto& [id, state] : runner_registry.runners()) {
    const bool takes = state.record.service == query.service && state.ReportFresh(now) &&
                       !state.Avoided(now) && !state.replaced && !state.record.draining &&
                       FitsMemory(query, state, 0, now);
    engines += takes ? 1 : 0;
  }
  if (engines == 0) return 0;
  const auto others = static_cast<double>(query.gateways->size() - 1);
  return query.demand.tokens_per_s * others / static_cast<double>(engines);
}

/// Returns whether the runner may get the request now; otherwise notes why not.
bool Admits(const PlacementQuery& query, RunnerState& state, double unseen_per_s,
            Placement& placement, TimePoint now) {
  if (query.closed_data_centres != nullptr &&
      query.closed_data_centres->count(state.record.data_centre) > 0) {
    Note(placement, PlacementRefusal::kClosed, kRetryUnreachable);
    return false;
  }
  if (state.record.draining || state.replaced) return false;
  if (state.record.weights_version < query.min_weights_version) {
    Note(placement, PlacementRefusal::kLoading, kRetryLoading);
    return false;
  }
  // Late in a rollout a request must not wait until it would start too late.
  if (state.record.weights_version < query.min_weights_version_if_queued &&
      state.ReportFresh(now) && state.report->waiting > 0) {
    Note(placement, PlacementRefusal::kLoading, kRetryLoading);
    return false;
  }
  const WeightLoadPhase phase =
      state.ReportFresh(now) ? state.report->phase : WeightLoadPhase::kServing;
  if (phase == WeightLoadPhase::kLoading ||
      (phase == WeightLoadPhase::kFinishing && !query.repeatable)) {
    Note(placement, PlacementRefusal::kLoading, kRetryLoading);
    return false;
  }
  if (state.Avoided(now) || state.report_failed) {
    Note(placement, PlacementRefusal::kUnreachable,
         std::max(kRetryUnreachable / 2, state.avoid_until - now));
    return false;
  }
  if (query.tokens > 0 && !FitsMemory(query, state, unseen_per_s, now)) {
    Note(placement, PlacementRefusal::kFull, kRetryFull);
    return false;
  }
  if (state.Cold(now) && query.cold_requests_per_second > 0) {
    // Without the others' names, this gateway's share of the rate is unknown.
    const bool known = query.gateways != nullptr && !query.gateways->empty();
    const int64_t share = known ? ColdShare(query.cold_requests_per_second, state.record.id,
                                            query.self, *query.gateways)
                                : 0;
    if (!state.cold_sent.HasCapacity(share, now)) {
      Note(placement, PlacementRefusal::kCold, std::min(kRetryCold, state.cold_until - now));
      return false;
    }
  }
  return true;
}

const Candidate* ChooseHome(const std::vector<Candidate>& candidates, double limit) {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.doubtful || candidate.load > limit) continue;
    if (best == nullptr || candidate.affinity > best->affinity) best = &candidate;
  }
  return best;
}

const Candidate* ChooseLeastLoaded(const std::vector<Candidate>& candidates,
                                   const PlacementQuery& query) {
  const Candidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const Candidate& candidate : candidates) {
    const bool near = candidate.state->record.data_centre == query.data_centre;
    // The hash spreads the choices of gateways that see the same loads.
    const double spread =
        static_cast<double>(RendezvousMix(static_cast<uint64_t>(query.random * 1e9),
                                          RendezvousHash(*candidate.id)) >>
                            11) *
        0x1.0p-53;
    const double cost =
        candidate.load + (near ? 0 : kDistanceLoad) + (candidate.doubtful ? 10 : 0) + spread * 0.05;
    if (cost < best_cost) {
      best_cost = cost;
      best = &candidate;
    }
  }
  return best;
}

}  // namespace

std::string_view Name(PlacementRefusal refusal) {
  return kRefusalNames[static_cast<size_t>(refusal)];
}

Placement PlaceRequest(const PlacementQuery& query, RunnerRegistry& runner_registry,
                       TimePoint now) {
  Placement placement;
  std::vector<Candidate> candidates;
  double total = 0;
  uint64_t home_affinity = 0;
  const double unseen_per_s =
      query.tokens > 0 ? UnseenTokensPerSecond(query, runner_registry, now) : 0;
  for (auto& [id, state] : runner_registry.runners()) {
    if (state.record.service != query.service) continue;
    const uint64_t affinity = RendezvousMix(query.prefix_hash, RendezvousHash(id));
    if (query.prefix_hash != 0 && !state.record.draining && !state.replaced &&
        affinity >= home_affinity) {
      home_affinity = affinity;
      placement.home = id;
    }
    if (query.tried != nullptr && query.tried->count(id) > 0) continue;
    if (!Admits(query, state, unseen_per_s, placement, now)) continue;
    Candidate candidate{&id, &state, LoadShare(query, state, now), affinity, false};
    candidate.doubtful = state.FailureShare(now) > kFailureHigh;
    if (state.record.weights_version < query.preferred_weights_version)
      candidate.load += kOldWeightsLoad;
    total += candidate.load;
    candidates.push_back(candidate);
  }
  if (candidates.empty()) {
    if (placement.refusal == PlacementRefusal::kNone) {
      Note(placement, PlacementRefusal::kNoRunner, kRetryUnreachable);
    }
    return placement;
  }
  const double mean = total / static_cast<double>(candidates.size());
  const Candidate* chosen = nullptr;
  if (query.prefix_hash != 0) {
    chosen =
        ChooseHome(candidates, std::min(kLoadFactor * mean + kLoadMargin, mean + kMostLoadMargin));
  }
  if (chosen == nullptr) chosen = ChooseLeastLoaded(candidates, query);
  // A runner whose queue is as long as its batch cannot start another request soon.
  const RunnerState& state = *chosen->state;
  if (state.ReportFresh(now) && state.report->waiting > state.record.slots) {
    Note(placement, PlacementRefusal::kFull, kRetryFull);
    return placement;
  }
  placement.runner = *chosen->id;
  placement.refusal = PlacementRefusal::kNone;
  placement.retry_after = Duration{0};
  return placement;
}

}  // namespace fuchsiaweir
