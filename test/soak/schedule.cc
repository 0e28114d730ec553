#include "soak/schedule.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace fuchsiaweir::soak {
namespace {

using Random = std::mt19937_64;

int64_t Draw(Random& random, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random);
}

/// Processes that a step may affect.
enum class Target { kGateway, kDaemon, kRunner, kAny, kStore };

struct StepType {
  StepKind kind;
  const char* name;
  Target target;
  int weight;  ///< Share among the steps of its phase.
  bool planned;
  int64_t low;  ///< Range of `amount`.
  int64_t high;
};

constexpr StepType kTypes[] = {
    {StepKind::kStop, "stop", Target::kDaemon, 6, true, 0, 0},
    {StepKind::kStop, "stop", Target::kDaemon, 2, true, 1, 800},
    {StepKind::kStopTwice, "stop_twice", Target::kDaemon, 1, true, 0, 5'000},
    {StepKind::kReloadInStop, "reload_in_stop", Target::kDaemon, 2, true, 0, 7'500},
    {StepKind::kReloadAtStart, "reload_at_start", Target::kDaemon, 2, true, 0, 30},
    {StepKind::kReload, "reload", Target::kDaemon, 4, true, 0, 0},
    {StepKind::kSettings, "settings", Target::kDaemon, 2, true, 0, 999},
    {StepKind::kCutSettings, "cut_settings", Target::kDaemon, 2, true, 0, 9'999},
    {StepKind::kDesiredState, "desired_state", Target::kStore, 4, true, 0, 20},
    {StepKind::kDesiredState, "desired_state", Target::kStore, 1, true, 200, 500},
    {StepKind::kWeights, "weights", Target::kStore, 1, true, 0, 0},
    {StepKind::kDrain, "drain", Target::kRunner, 2, true, 300, 3'000},
    {StepKind::kEvacuate, "evacuate", Target::kStore, 1, true, 100, 1'200},
    {StepKind::kKill, "kill", Target::kDaemon, 4, false, 0, 1'000},
    {StepKind::kKill, "kill", Target::kRunner, 2, false, 0, 2'000},
    {StepKind::kStall, "stall", Target::kAny, 6, false, 100, 2'000},
    {StepKind::kThrottle, "throttle", Target::kAny, 2, false, 1'000, 5'000},
    {StepKind::kLeave, "leave", Target::kRunner, 2, false, 100, 3'000},
    {StepKind::kRunnerFault, "runner_fault", Target::kRunner, 8, false, 100, 2'000},
    {StepKind::kReset, "reset", Target::kRunner, 2, false, 0, 0},
    {StepKind::kStoreFault, "store_fault", Target::kStore, 3, false, 100, 4'000}};

constexpr const char* kRunnerFaults[] = {
    R"({"lose":1})",           R"({"cut_after":3})", R"({"cut_head":1})",
    R"({"cut_body":1})",       R"({"full":1})",      R"({"pause":"0.4"})",
    R"({"fail":1})",           R"({"silent":1})",    R"({"event_interval_ms":150})",
    R"({"no_report":1})",      R"({"extra":1})",     R"({"silence_open_connections":1})",
    R"({"repeat_refusal":1})", R"({"limit":"30"})"};
constexpr const char* kStoreFaults[] = {R"({"down":true})", R"({"silent":true})",
                                        R"({"silence_open_connections":1})",
                                        R"({"forget_history":1})"};

/// Steps of restores of the store, which are drawn apart from the others.
constexpr std::pair<StepKind, const char*> kRestoreSteps[] = {
    {StepKind::kCopyStore, "copy_store"},
    {StepKind::kRestoreStore, "restore_store"},
    {StepKind::kSkipRevisions, "skip_revisions"},
    {StepKind::kWriteAgain, "write_again"}};

/// Time after which a store that came back counts as stable.
constexpr int64_t kStableAfterMs = 3'000;
/// Longer than the time in which a runner's departure takes effect.
constexpr int64_t kDrainMs = 3'500;
constexpr int64_t kMinCopyAgeMs = 1'500;
constexpr int64_t kMaxCopyAgeMs = 5'000;
constexpr int64_t kMaxRestoreDelayMs = 2'500;
/// The changes after a restore may come in the last part, in which callers go on.
constexpr int64_t kMaxRestoreOverrunMs = 1'000;
/// From the end of the schedule until the last changes: faults of the store have ended by then for
/// the time after which it counts as stable, and the callers go on until the changes are in force.
constexpr int64_t kLastChangesAfterMs = 3'500;

/// Lengths of the phases of seeds that alternate between planned work alone and all kinds of steps.
/// Between the two nothing happens, so that the work that follows meets no fault.
constexpr int64_t kPlannedPhaseMs = 13'000;
constexpr int64_t kFaultPhaseMs = 6'000;
constexpr int64_t kCalmPhaseMs = 5'000;
/// Nothing new begins in the last part, in which processes that stop come back.
constexpr int64_t kLastPartMs = 4'000;
constexpr int64_t kCycleMs = kPlannedPhaseMs + kFaultPhaseMs + kCalmPhaseMs;

/// A gateway of a small site has 0.13 of a core.
constexpr int kCapMs = 13;

enum class Phase { kPlanned, kAll, kCalm };

Phase PhaseAt(uint64_t seed, int64_t at_ms) {
  if (seed % 3 == 0) return Phase::kPlanned;
  if (seed % 3 == 2) return Phase::kAll;
  const int64_t in_cycle = at_ms % kCycleMs;
  if (in_cycle < kPlannedPhaseMs) return Phase::kPlanned;
  return in_cycle < kPlannedPhaseMs + kFaultPhaseMs ? Phase::kAll : Phase::kCalm;
}

const StepType& DrawType(Random& random, Phase phase) {
  const auto drawn = [phase](const StepType& type) { return phase == Phase::kAll || type.planned; };
  int64_t sum = 0;
  for (const StepType& type : kTypes) sum += drawn(type) ? type.weight : 0;
  int64_t rest = Draw(random, 0, sum - 1);
  for (const StepType& type : kTypes) {
    if (!drawn(type)) continue;
    rest -= type.weight;
    if (rest < 0) return type;
  }
  return kTypes[0];
}

std::string DrawProcess(Random& random, Target target, const SoakOptions& options) {
  if (target == Target::kAny) {
    constexpr Target kTargets[] = {Target::kDaemon, Target::kDaemon, Target::kRunner,
                                   Target::kStore};
    target = kTargets[Draw(random, 0, std::size(kTargets) - 1)];
  }
  if (target == Target::kDaemon && Draw(random, 0, 2) < 2) target = Target::kGateway;
  if (target == Target::kStore) return "store";
  if (target == Target::kGateway) {
    return absl::StrCat("gateway", Draw(random, 0, options.gateways - 1));
  }
  return absl::StrCat(target == Target::kDaemon ? "sidecar" : "runner",
                      Draw(random, 0, options.runners - 1));
}

/// Adds changes which are checked if the store is stable.
void AddChanges(Random& random, int64_t at_ms, const SoakOptions& options,
                std::vector<Step>& steps) {
  steps.push_back({at_ms, StepKind::kDesiredState, "store", Draw(random, 0, 20), ""});
  const std::string runner = DrawProcess(random, Target::kRunner, options);
  steps.push_back({at_ms, StepKind::kDrain, runner, kDrainMs, ""});
}

/// Draws a restore at `at_ms` of a copy that the store makes before, and changes once the store is
/// stable again.
std::vector<Step> DrawRestore(Random& random, int64_t at_ms, const SoakOptions& options) {
  std::vector<Step> steps;
  const auto add = [&](int64_t step_at_ms, StepKind kind, int64_t amount) {
    const Target target = kind == StepKind::kDrain ? Target::kRunner : Target::kStore;
    steps.push_back({step_at_ms, kind, DrawProcess(random, target, options), amount, ""});
  };
  const int64_t copy_ms = at_ms - Draw(random, kMinCopyAgeMs, kMaxCopyAgeMs);
  add(copy_ms, StepKind::kCopyStore, 0);
  add(Draw(random, copy_ms + 50, at_ms), StepKind::kDesiredState, Draw(random, 0, 20));
  // Other writers of the store, whose changes the copy lacks, keep the revisions of the processes
  // beyond the store's for a while after its return.
  if (Draw(random, 0, 2) > 0) add(copy_ms + 50, StepKind::kSkipRevisions, Draw(random, 20, 500));
  // A runner that says it leaves, which the copy lacks, until the store is stable again.
  if (Draw(random, 0, 1) == 0) {
    add(copy_ms + 50, StepKind::kDrain, at_ms - copy_ms + kStableAfterMs);
  }
  const int64_t count = Draw(random, 0, 2) == 0 ? 2 : 1;
  int64_t return_ms = at_ms;
  for (int64_t i = 1; i <= count; ++i) {
    const int64_t away_ms = Draw(random, 300, 1'500);
    const int64_t restore_ms = return_ms + (i == 1 ? 0 : Draw(random, 200, 1'500));
    add(restore_ms, StepKind::kRestoreStore, away_ms);
    if (Draw(random, 0, 2) == 0) {
      add(restore_ms, StepKind::kSkipRevisions, Draw(random, 20, 500));
    }
    const int64_t write_again_ms = Draw(random, 0, 1'500);
    if (i == count || Draw(random, 0, 1) == 0) {
      add(restore_ms, StepKind::kWriteAgain, write_again_ms);
    }
    return_ms = restore_ms + away_ms;
  }
  const int64_t change_ms = return_ms + kStableAfterMs + Draw(random, 0, 800);
  AddChanges(random, change_ms, options, steps);
  return steps;
}

/// Draws the restores of the store in seeds that have faults. In seeds that alternate they lie in
/// the phases with faults.
std::vector<Step> DrawRestores(const SoakOptions& options, int64_t end_ms) {
  std::vector<Step> steps;
  if (PhaseAt(options.seed, kPlannedPhaseMs) == Phase::kPlanned) return steps;
  Random random(options.seed * 977 + 5);
  const bool alternates = options.seed % 3 == 1;
  int64_t at_ms = 1'000 + kMaxCopyAgeMs;
  for (int64_t cycle = 0;; ++cycle) {
    if (alternates) at_ms = cycle * kCycleMs + kPlannedPhaseMs;
    const std::vector<Step> restore =
        DrawRestore(random, at_ms + Draw(random, 0, kMaxRestoreDelayMs), options);
    const int64_t last_ms = restore.back().at_ms;
    if (last_ms > end_ms + kMaxRestoreOverrunMs) break;
    steps.insert(steps.end(), restore.begin(), restore.end());
    at_ms = last_ms + kMaxCopyAgeMs;
  }
  // Other faults may overlap with the changes after each restore; these ones meet none.
  if (!steps.empty()) {
    AddChanges(random, options.seconds * 1'000 + kLastChangesAfterMs, options, steps);
  }
  return steps;
}

}  // namespace

SoakOptions DrawSizes(SoakOptions options) {
  Random random(options.seed * 31 + 7);
  const int gateways = static_cast<int>(Draw(random, 1, 4));
  const int runners = static_cast<int>(Draw(random, 2, 7));
  const int clients = static_cast<int>(Draw(random, 8, 40));
  const bool capped = Draw(random, 0, 3) == 0;
  if (options.gateways == 0) options.gateways = gateways;
  if (options.runners == 0) options.runners = runners;
  if (options.clients == 0) options.clients = clients;
  if (options.cap_ms < 0) options.cap_ms = capped ? kCapMs : 0;
  return options;
}

std::vector<Step> DrawSchedule(const SoakOptions& options) {
  Random random(options.seed);
  std::vector<Step> steps;
  const int64_t end_ms = options.seconds * 1'000 - kLastPartMs;
  const int64_t mean_ms = Draw(random, 150, 900);
  int64_t at_ms = 1'000;
  while (at_ms < end_ms) {
    at_ms += 1 + static_cast<int64_t>(std::exponential_distribution<double>(
                     1.0 / static_cast<double>(mean_ms))(random));
    const Phase phase = PhaseAt(options.seed, at_ms);
    const StepType& type = DrawType(random, phase);
    Step step{at_ms, type.kind, DrawProcess(random, type.target, options), 0, ""};
    const bool series = Draw(random, 0, 3) == 0;
    const int64_t count = series ? Draw(random, 2, 6) : 1;
    const int64_t interval_ms = Draw(random, 1, 150);
    for (int64_t i = 0; i < count; ++i) {
      step.at_ms = at_ms + i * interval_ms;
      step.amount = Draw(random, type.low, type.high);
      if (type.kind == StepKind::kRunnerFault) {
        step.detail = kRunnerFaults[Draw(random, 0, std::size(kRunnerFaults) - 1)];
      } else if (type.kind == StepKind::kStoreFault) {
        step.detail = kStoreFaults[Draw(random, 0, std::size(kStoreFaults) - 1)];
      }
      if (phase != Phase::kCalm && step.at_ms < end_ms) steps.push_back(step);
    }
  }
  // They are drawn from a stream of their own, so that the other steps of a seed stay the same.
  const std::vector<Step> restores = DrawRestores(options, end_ms);
  steps.insert(steps.end(), restores.begin(), restores.end());
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& a, const Step& b) { return a.at_ms < b.at_ms; });
  return steps;
}

std::string Describe(const Step& step) {
  const char* name = "";
  for (const StepType& type : kTypes) {
    if (type.kind == step.kind) name = type.name;
  }
  for (const auto& [kind, restore_name] : kRestoreSteps) {
    if (kind == step.kind) name = restore_name;
  }
  return absl::StrCat(step.at_ms, " ", name, " ", step.process, " ", step.amount, " ", step.detail);
}

}  // namespace fuchsiaweir::soak
