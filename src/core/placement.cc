#include "core/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

#include "core/rendezvous.h"
#include "core/work_choice.h"

namespace fuchsiaweir {
namespace {

// Prefix affinity with bounded load: a prompt stays at its home runner up to this factor of the
// mean load plus the margin. The margin tolerates a few extra requests at the home while all
// runners are nearly idle.
constexpr double kLoadFactor = 1.5;
constexpr double kLoadMargin = 0.15;
// Maximum excess of the home's load over the mean. While all runners are nearly full, a factor
// alone would let the home build up a queue while others have none.
constexpr double kMaxLoadMargin = 0.2;
// Share of an engine's memory up to which requests of priority 0 are placed. Each lower priority
// gets one step less, down to the minimum. The remainder is reserved for output that running
// requests have yet to generate.
constexpr double kMaxMemoryLimit = 0.93;
constexpr double kMemoryLimitStep = 0.05;
constexpr double kMinMemoryLimit = 0.7;
// Weight of the used slots beside the used memory in a runner's load. Prompt sizes differ by a
// factor of 100, so memory reflects a runner's work, while slots only count its requests.
constexpr double kSlotWeight = 0.3;
// Share of the memory that a queued request is assumed to need, as its size is unknown.
constexpr double kQueuedRequestMemory = 0.02;
// A runner with a higher failure rate is used only if every candidate has one.
constexpr double kMaxFailureRate = 0.3;
// Load penalty of such a runner, far above the load of any other.
constexpr double kFailingPenalty = 10;
// Load penalty of a runner in another data centre.
constexpr double kRemotePenalty = 0.1;
// Range of the pseudo-random load that spreads the choice among nearly equal runners.
constexpr double kTieBreakRange = 0.05;

// Load penalty of a runner with older weights than preferred. It is small, because otherwise all
// requests would converge on the first runners that have loaded the new weights.
constexpr double kOldWeightsPenalty = 0.06;

// Mean share of its output limit that a running request has yet to generate.
constexpr double kRemainingOutputShare = 0.5;
// Delay from a placement until the report of the runner's host includes the request.
constexpr Duration kPlacementReportDelay = Millis(60);

// A cold runner counts arrivals within 1 s; the additional 100 ms cover variations of the network
// delay.
constexpr Duration kColdWindow = Millis(1100);

// A measured pace is used for as long as a slow period of a runner lasts.
constexpr Duration kMaxPaceAge = Millis(600);

constexpr Duration kLoadingRetryAfter = Millis(400);
constexpr Duration kColdRetryAfter = Millis(700);
constexpr Duration kFullRetryAfter = Millis(300);
constexpr Duration kUnreachableRetryAfter = Millis(600);

// Requests that a runner without load reports holds beyond its slots, as a share of them, while
// other runners of its service are paused.
constexpr double kBearableQueueShare = 0.5;

constexpr std::array<std::string_view, 10> kRefusalNames = {
    "none", "no_runner",   "closed",  "loading", "cold",
    "full", "unreachable", "limited", "paused",  "leaving"};

struct Candidate {
  const std::string* id = nullptr;
  RunnerState* state = nullptr;
  double load = 0;  ///< Weighted share of the used slots and memory, plus penalties.
  uint64_t affinity = 0;
  bool failing = false;  ///< Its failure rate exceeds `kMaxFailureRate`.
};

// Keeps the refusal that ends first, because the caller may retry then. Returns `refusal`.
PlacementRefusal RecordRefusal(Placement& placement, PlacementRefusal refusal,
                               Duration retry_after) {
  if (placement.refusal == PlacementRefusal::kNone || retry_after < placement.retry_after) {
    placement.refusal = refusal;
    placement.retry_after = retry_after;
  }
  return refusal;
}

double LoadScore(const PlacementQuery& query, const RunnerState& state, TimePoint now) {
  const int64_t gateways =
      query.gateways == nullptr ? 1 : static_cast<int64_t>(query.gateways->size());
  const double slots = static_cast<double>(std::max<int64_t>(1, state.record.slots));
  const double slot_share = state.Load(now, gateways) / slots;
  if (!state.ReportFresh(now) || state.report->memory_total <= 0) return slot_share;
  const double memory = static_cast<double>(state.report->memory_used + state.tokens_since_report) /
                        static_cast<double>(state.report->memory_total);
  return kSlotWeight * slot_share + memory +
         kQueuedRequestMemory * static_cast<double>(state.report->waiting);
}

// Load pattern: demand beyond the memory of all engines. An engine that runs out of memory preempts
// runs and later prefills their prompts again, so each additional request lowers its throughput.
// Lower priorities have a lower memory limit, which leaves the remainder to higher ones.
bool FitsMemory(const PlacementQuery& query, const RunnerState& state, double unreported_per_s,
                TimePoint now) {
  if (!state.ReportFresh(now) || state.report->memory_total <= 0) return true;
  const EngineReport& report = *state.report;
  const int64_t mean = report.memory_used / std::max<int64_t>(1, report.running);
  const double unreported =
      unreported_per_s * ToSeconds(now - state.reported_at + kPlacementReportDelay);
  const double growth =
      kRemainingOutputShare * query.demand.output_tokens * static_cast<double>(report.running);
  const double used = static_cast<double>(report.memory_used + report.waiting * mean +
                                          state.tokens_since_report + query.tokens) +
                      unreported + growth;
  const double limit = std::max(
      kMinMemoryLimit, kMaxMemoryLimit - kMemoryLimitStep * static_cast<double>(query.priority));
  // An idle engine accepts a request of any size; the limit would refuse large ones for ever.
  return report.running + report.waiting == 0 ||
         used <= limit * static_cast<double>(report.memory_total);
}

// Load pattern: many gateways fill the same engine between two of its reports. Returns the tokens
// per second that all other gateways together are expected to send to each engine with free memory,
// if their demand resembles this gateway's. The fewer engines have free memory, the more each gets.
double UnreportedTokensPerSecond(const PlacementQuery& query, const RunnerRegistry& runner_registry,
                                 TimePoint now) {
  if (query.gateways == nullptr || query.gateways->size() < 2) return 0;
  int64_t engines = 0;
  for (const auto& [id, state] : runner_registry.runners()) {
    const bool accepts = state.record.service == query.service && state.ReportFresh(now) &&
                         !state.Avoided(now) && !state.replaced && !state.record.draining &&
                         !runner_registry.notices().Leaving(id) &&
                         runner_registry.notices().PauseLeft(id, now) == Duration{0} &&
                         FitsMemory(query, state, 0, now);
    engines += accepts ? 1 : 0;
  }
  if (engines == 0) return 0;
  const auto others = static_cast<double>(query.gateways->size() - 1);
  return query.demand.tokens_per_s * others / static_cast<double>(engines);
}

// Returns the time until the first pause of the service's runners ends; nothing if none is paused.
std::optional<Duration> FirstPauseEnd(const PlacementQuery& query,
                                      const RunnerRegistry& runner_registry, TimePoint now) {
  std::optional<Duration> first;
  for (const auto& [id, state] : runner_registry.runners()) {
    const RunnerNotices& notices = runner_registry.notices();
    if (state.record.service != query.service || state.record.draining) continue;
    if (state.replaced || notices.Leaving(id)) continue;
    const Duration left = notices.PauseLeft(id, now);
    if (left > Duration{0} && (!first || left < *first)) first = left;
  }
  return first;
}

// Load pattern: one runner after the other asks for a pause, and the requests of those that pause
// would push the next one into its pause. While any is paused, the others get only as many requests
// as they hold; the rest is refused until a pause ends.
bool BearsMore(const PlacementQuery& query, const RunnerState& state, TimePoint now) {
  const auto slots = static_cast<double>(std::max<int64_t>(1, state.record.slots));
  if (state.ReportFresh(now)) return state.Load(now, 1) < slots;
  const double gateways = query.gateways == nullptr
                              ? 1
                              : static_cast<double>(std::max<size_t>(1, query.gateways->size()));
  const double share = std::floor(slots * (1 + kBearableQueueShare) / gateways);
  return static_cast<double>(state.in_flight) < std::max(1.0, share);
}

// Inputs of a placement that are the same for all runners.
struct SharedInputs {
  double unreported_per_s = 0;  // Tokens that other gateways send to each engine.
  std::optional<Duration> first_pause_end;
};

// Returns why the runner may not get the request now, and records it; kNone if it may.
PlacementRefusal CheckEligible(const PlacementQuery& query, RunnerState& state,
                               RunnerNotices& notices, const SharedInputs& shared,
                               Placement& placement, TimePoint now) {
  if (query.closed_data_centres != nullptr &&
      query.closed_data_centres->count(state.record.data_centre) > 0) {
    return RecordRefusal(placement, PlacementRefusal::kClosed, kUnreachableRetryAfter);
  }
  if (state.record.draining || state.replaced || notices.Leaving(state.record.id)) {
    return PlacementRefusal::kLeaving;
  }
  const Duration paused_for = notices.PauseLeft(state.record.id, now);
  if (paused_for > Duration{0}) {
    return RecordRefusal(placement, PlacementRefusal::kPaused, paused_for);
  }
  if (state.record.weights_version < query.min_weights_version) {
    return RecordRefusal(placement, PlacementRefusal::kLoading, kLoadingRetryAfter);
  }
  // Late in a weight rollout, a request queued at a runner with old weights could start only after
  // the deadline for the new ones.
  if (state.record.weights_version < query.min_weights_version_if_queued &&
      state.ReportFresh(now) && state.report->waiting > 0) {
    return RecordRefusal(placement, PlacementRefusal::kLoading, kLoadingRetryAfter);
  }
  const WeightLoadPhase phase =
      state.ReportFresh(now) ? state.report->phase : WeightLoadPhase::kServing;
  if (phase == WeightLoadPhase::kLoading ||
      (phase == WeightLoadPhase::kFinishing && !query.repeatable)) {
    return RecordRefusal(placement, PlacementRefusal::kLoading, kLoadingRetryAfter);
  }
  if (query.tokens > 0 && !FitsMemory(query, state, shared.unreported_per_s, now)) {
    return RecordRefusal(placement, PlacementRefusal::kFull, kFullRetryAfter);
  }
  if (shared.first_pause_end && !BearsMore(query, state, now)) {
    return RecordRefusal(placement, PlacementRefusal::kFull, *shared.first_pause_end);
  }
  // Without the list of gateways, this gateway's shares are unknown.
  const std::vector<std::string> unknown;
  const std::vector<std::string>& gateways = query.gateways == nullptr ? unknown : *query.gateways;
  const Duration limited_for = notices.WaitTime(state.record.id, query.self, gateways, now);
  if (limited_for > Duration{0}) {
    return RecordRefusal(placement, PlacementRefusal::kLimited, limited_for);
  }
  if (state.Cold(now) && query.cold_requests_per_second > 0) {
    const int64_t share = gateways.empty()
                              ? 0
                              : RequestShare(static_cast<int64_t>(query.cold_requests_per_second),
                                             state.record.id, query.self, gateways);
    if (!state.cold_requests.HasCapacity(share, kColdWindow, now)) {
      return RecordRefusal(placement, PlacementRefusal::kCold,
                           std::min(kColdRetryAfter, state.cold_until - now));
    }
  }
  if (state.Suspected(now)) {
    return RecordRefusal(placement, PlacementRefusal::kUnreachable,
                         std::max(kUnreachableRetryAfter / 2, state.avoid_until - now));
  }
  return PlacementRefusal::kNone;
}

// Whether a runner that refuses for this reason takes requests soon.
bool TakesRequestsSoon(PlacementRefusal refusal) {
  return refusal == PlacementRefusal::kLoading || refusal == PlacementRefusal::kCold ||
         refusal == PlacementRefusal::kFull || refusal == PlacementRefusal::kLimited ||
         refusal == PlacementRefusal::kPaused;
}

const Candidate* ChooseHome(const std::vector<Candidate>& candidates, double limit) {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.failing || candidate.load > limit) continue;
    if (best == nullptr || candidate.affinity > best->affinity) best = &candidate;
  }
  return best;
}

// Order of the candidates that is random for each request.
uint64_t RandomRank(const PlacementQuery& query, const Candidate& candidate) {
  return RendezvousMix(static_cast<uint64_t>(query.random * 1e9), RendezvousHash(*candidate.id));
}

const Candidate* ChooseLeastLoaded(const std::vector<Candidate>& candidates,
                                   const PlacementQuery& query) {
  const Candidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const Candidate& candidate : candidates) {
    const bool local = candidate.state->record.data_centre == query.data_centre;
    // Uniform in [0, 1); spreads the choices of gateways that see the same loads.
    const double spread = static_cast<double>(RandomRank(query, candidate) >> 11) * 0x1.0p-53;
    const double cost = candidate.load + (local ? 0 : kRemotePenalty) +
                        (candidate.failing ? kFailingPenalty : 0) + spread * kTieBreakRange;
    if (cost < best_cost) {
      best_cost = cost;
      best = &candidate;
    }
  }
  return best;
}

// Replaces the choice by affinity and load if another runner is expected to answer much earlier.
const Candidate* ReconsiderByTime(const std::vector<Candidate>& candidates,
                                  const Candidate* present, const PlacementQuery& query,
                                  const ServiceWork& work, double load_limit,
                                  uint64_t home_affinity, Placement& placement, TimePoint now) {
  std::vector<TimedRunner> runners(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    const bool has_prefix = query.prefix_hash != 0;
    const bool home = has_prefix && candidate.affinity == home_affinity;
    const bool local = candidate.state->record.data_centre == query.data_centre;
    const int64_t uncached = query.work->prompt_tokens - (home ? query.work->shared_tokens : 0);
    if (const std::optional<RunnerWork> at =
            WorkAt(*candidate.state, query.work->prompt_tokens, now)) {
      runners[i].expected = work.ExpectedFirstEvent(*at, uncached);
      runners[i].unread = at->waiting + at->reading + at->placed;
      runners[i].reading = work.ReadingTime(*at, uncached);
    }
    runners[i].rank = has_prefix ? candidate.affinity : RandomRank(query, candidate);
    runners[i].usable = !candidate.failing && candidate.load <= load_limit && (has_prefix || local);
  }
  const auto index = static_cast<size_t>(present - candidates.data());
  const std::optional<size_t> chosen = ChooseByExpectedTime(runners, index, query.work->objective);
  if (!chosen) return present;
  placement.by_time =
      ExpectedTimes{*present->id, *runners[index].expected, *runners[*chosen].expected};
  return &candidates[*chosen];
}

}  // namespace

std::optional<RunnerWork> WorkAt(const RunnerState& state, int64_t prompt_tokens, TimePoint now) {
  if (!state.ReportFresh(now)) return std::nullopt;
  const EngineReport& report = *state.report;
  RunnerWork work;
  if (now - state.reported_at <= kMaxPaceAge) work.pace = report.pace;
  work.running = report.running;
  work.waiting = report.waiting;
  work.reading = report.reading;
  work.placed = state.sent_since_report;
  const bool no_slot = report.running >= std::max<int64_t>(1, state.record.slots);
  const bool no_memory =
      report.memory_total > 0 && report.memory_used + prompt_tokens > report.memory_total;
  work.full = no_slot || (report.waiting > 0 && no_memory);
  return work;
}

std::string_view Name(PlacementRefusal refusal) {
  return kRefusalNames[static_cast<size_t>(refusal)];
}

Placement PlaceRequest(const PlacementQuery& query, RunnerRegistry& runner_registry,
                       TimePoint now) {
  Placement placement;
  std::vector<Candidate> candidates;
  uint64_t home_affinity = 0;
  RunnerNotices& notices = runner_registry.notices();
  bool some_leave = false;
  std::vector<Candidate> suspected;
  bool some_soon = false;  // Some runners take requests soon, if not now.
  SharedInputs shared;
  if (query.tokens > 0) {
    shared.unreported_per_s = UnreportedTokensPerSecond(query, runner_registry, now);
  }
  shared.first_pause_end = FirstPauseEnd(query, runner_registry, now);
  for (auto& [id, state] : runner_registry.runners()) {
    if (state.record.service != query.service) continue;
    if (query.version_rule != nullptr && !query.version_rule->Allows(state.record)) continue;
    // What two versions write does not fit together, and runners do not check it.
    if (query.software_version != nullptr && *query.software_version != state.record.version) {
      continue;
    }
    const uint64_t affinity = RendezvousMix(query.prefix_hash, RendezvousHash(id));
    const bool leaving = state.record.draining || state.replaced || notices.Leaving(id);
    some_leave = some_leave || leaving;
    if (query.prefix_hash != 0 && !leaving && affinity >= home_affinity) {
      home_affinity = affinity;
      placement.home = id;
    }
    if (query.tried != nullptr && query.tried->count(id) > 0) {
      // A runner that has refused this request may be the one whose pause ends first.
      const Duration paused_for = notices.PauseLeft(id, now);
      if (paused_for > Duration{0}) {
        RecordRefusal(placement, PlacementRefusal::kPaused, paused_for);
      }
      continue;
    }
    const PlacementRefusal refusal = CheckEligible(query, state, notices, shared, placement, now);
    some_soon = some_soon || TakesRequestsSoon(refusal);
    if (refusal != PlacementRefusal::kNone && refusal != PlacementRefusal::kUnreachable) continue;
    Candidate candidate{&id, &state, LoadScore(query, state, now), affinity, false};
    candidate.failing = state.FailureRate(now) > kMaxFailureRate;
    if (state.record.weights_version < query.preferred_weights_version) {
      candidate.load += kOldWeightsPenalty;
    }
    if (refusal == PlacementRefusal::kUnreachable) {
      const int64_t slots = std::max<int64_t>(1, state.record.slots);
      if (!state.absent && state.in_flight < slots) suspected.push_back(candidate);
      continue;
    }
    candidates.push_back(candidate);
  }
  // Load pattern: a stall of the network, of this host or of the service makes all runners look
  // dead at the same time, while they work on. If no other one takes requests soon, a suspected one
  // is better than none, unless it is known to be absent. It gets no more requests than it can run
  // at once, since they are lost if it is dead.
  if (candidates.empty() && !some_soon && query.allow_suspected) candidates = std::move(suspected);
  if (candidates.empty()) {
    if (placement.refusal == PlacementRefusal::kNone) {
      RecordRefusal(placement,
                    some_leave ? PlacementRefusal::kLeaving : PlacementRefusal::kNoRunner,
                    kUnreachableRetryAfter);
    }
    return placement;
  }
  double total = 0;
  for (const Candidate& candidate : candidates) total += candidate.load;
  const double mean = total / static_cast<double>(candidates.size());
  const Candidate* chosen = nullptr;
  const double load_limit = std::min(kLoadFactor * mean + kLoadMargin, mean + kMaxLoadMargin);
  if (query.prefix_hash != 0) chosen = ChooseHome(candidates, load_limit);
  if (chosen == nullptr) chosen = ChooseLeastLoaded(candidates, query);
  const ServiceWork* work =
      query.work ? runner_registry.work().FindService(query.service) : nullptr;
  if (work != nullptr) {
    chosen = ReconsiderByTime(candidates, chosen, query, *work, load_limit, home_affinity,
                              placement, now);
  }
  // A runner with more queued requests than slots cannot start another request soon.
  const RunnerState& state = *chosen->state;
  if (state.ReportFresh(now) && state.report->waiting > state.record.slots) {
    RecordRefusal(placement, PlacementRefusal::kFull, kFullRetryAfter);
    return placement;
  }
  placement.runner = *chosen->id;
  placement.refusal = PlacementRefusal::kNone;
  placement.retry_after = Duration{0};
  return placement;
}

}  // namespace fuchsiaweir
