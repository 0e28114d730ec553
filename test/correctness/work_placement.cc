// Simulations of the load patterns that core/work_estimate.h and core/work_choice.h handle. Each is
// run with expected times and without them, which is the placement by affinity and load.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/placement.h"
#include "core/rendezvous.h"
#include "core/work_choice.h"
#include "core/work_pace.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr int64_t kObjectiveMs = 300;
constexpr int64_t kReportMs = 120;
constexpr int64_t kSlowMs = 600;
constexpr double kSlowFactor = 2.5;
constexpr int64_t kEventMs = 20;
constexpr double kTokensPerMs = 30;  ///< Speed at which prompts are read.
constexpr int64_t kWarmUpMs = 2'000;

/// A workload with its deployment.
struct Scenario {
  bool by_time = true;  ///< Placement uses expected times.
  size_t runners = 50;
  size_t gateways = 27;
  double per_second = 432;  ///< Requests to all gateways.
  double slow_share = 0.15;
  int64_t slots = 64;
  int64_t report_delay_ms = 20;
  int64_t prompts = 400;  ///< Different shared prefixes.
  int64_t prefix_tokens = 1'800;
  int64_t own_tokens = 1'500;
  bool measure_pace = true;
  /// Events of the answers of each route; all have the same limit of output tokens.
  std::vector<int64_t> outputs = {60};
};

struct Request {
  size_t gateway = 0;
  size_t route = 0;
  int64_t sent_ms = 0;
  int64_t uncached_tokens = 0;  ///< As the gateway expects it.
  double slowdown = 1;
  bool queued = false;
  double prompt_left_ms = 0;
  double events = 0;
};

struct EngineReplay {
  std::set<uint64_t> cached;
  std::deque<Request> queue;
  std::vector<std::pair<uint64_t, Request>> runs;  ///< By id, oldest first.
  bool slow = false;
  PaceMeter pace;
};

struct Outcome {
  int64_t placed = 0;
  int64_t answered = 0;  ///< Those that got their first event.
  int64_t late = 0;
  int64_t moved = 0;  ///< Placed by the expected time.
  int64_t median_ms = 0;
  double late_share() const { return static_cast<double>(late) / static_cast<double>(answered); }
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario)
      : scenario_(scenario), registries_(scenario.gateways), engines_(scenario.runners) {
    for (size_t i = 0; i < scenario.gateways; ++i) names_.push_back("g" + std::to_string(i));
    for (size_t i = 0; i < scenario.runners; ++i) {
      RunnerRecord record;
      record.id = "runner-" + std::to_string(i);
      record.service = "llm";
      record.address = "10.0.0.1";
      record.port = static_cast<uint16_t>(i + 1);
      record.slots = scenario.slots;
      for (RunnerRegistry& registry : registries_) registry.Upsert(record, kStart);
    }
  }

  Outcome Run(int64_t duration_ms) {
    double due = 0;
    for (ms_ = 0; ms_ < duration_ms; ++ms_) {
      if (ms_ % kSlowMs == 0) ChooseSlowRunners();
      for (size_t i = 0; i < engines_.size(); ++i) Step(i);
      SendReports();
      for (due += scenario_.per_second / 1'000; due >= 1; due -= 1) Place();
    }
    std::sort(times_ms_.begin(), times_ms_.end());
    outcome_.median_ms = times_ms_[times_ms_.size() / 2];
    return outcome_;
  }

 private:
  TimePoint now() const { return kStart + Millis(ms_); }

  void ChooseSlowRunners() {
    std::vector<size_t> order(engines_.size());
    for (size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), random_);
    const double slow = scenario_.slow_share * static_cast<double>(order.size());
    for (size_t i = 0; i < order.size(); ++i)
      engines_[order[i]].slow = static_cast<double>(i) < slow;
  }

  void Step(size_t index) {
    EngineReplay& engine = engines_[index];
    const double speed = 1 / (engine.slow ? kSlowFactor : 1);
    while (!engine.queue.empty() && static_cast<int64_t>(engine.runs.size()) < scenario_.slots) {
      engine.runs.emplace_back(++last_id_, engine.queue.front());
      engine.queue.pop_front();
    }
    bool reading = false;
    for (auto& [id, run] : engine.runs) {
      if (run.prompt_left_ms > 0) {
        if (!reading) run.prompt_left_ms -= speed;
        reading = true;
        continue;
      }
      const bool first = run.events < 1;
      run.events += speed / kEventMs;
      if (first && run.events >= 1) OnFirstEvent(run);
      if (run.events >= static_cast<double>(scenario_.outputs[run.route])) OnComplete(run);
    }
    std::erase_if(engine.runs, [this](const auto& run) {
      return run.second.events >= static_cast<double>(scenario_.outputs[run.second.route]);
    });
  }

  void OnFirstEvent(const Request& run) {
    const int64_t elapsed = ms_ - run.sent_ms;
    if (run.sent_ms >= kWarmUpMs) {
      times_ms_.push_back(elapsed);
      ++outcome_.answered;
      outcome_.late += elapsed > kObjectiveMs ? 1 : 0;
    }
    if (run.queued) return;
    registries_[run.gateway].work().Service("llm").OnFirstEvent(run.uncached_tokens, run.slowdown,
                                                                Millis(elapsed));
  }

  void OnComplete(const Request& run) {
    registries_[run.gateway].work().Service("llm").OnOutput(scenario_.outputs[run.route]);
  }

  struct Sent {
    int64_t at_ms;
    size_t runner;
    EngineReport report;
  };

  void SendReports() {
    for (size_t i = 0; i < engines_.size(); ++i) {
      if ((ms_ + static_cast<int64_t>(i) * 7) % kReportMs != 0) continue;
      EngineReplay& engine = engines_[i];
      EngineReport report;
      report.running = static_cast<int64_t>(engine.runs.size());
      report.waiting = static_cast<int64_t>(engine.queue.size());
      report.memory_used = report.running * 2'500;
      report.memory_total = 1'000'000;
      for (const auto& [id, run] : engine.runs) {
        report.runs.push_back({id, static_cast<int64_t>(run.events)});
        report.reading += run.events < 1 ? 1 : 0;
      }
      if (scenario_.measure_pace) report.pace = engine.pace.OnReport(report, now());
      report.runs.clear();
      sent_.push_back({ms_ + scenario_.report_delay_ms, i, report});
    }
    while (!sent_.empty() && sent_.front().at_ms <= ms_) {
      const auto port = static_cast<uint16_t>(sent_.front().runner + 1);
      for (RunnerRegistry& registry : registries_) {
        registry.OnReport("10.0.0.1", port, sent_.front().report, Duration{0}, now());
      }
      sent_.pop_front();
    }
  }

  void Place() {
    Request request;
    request.gateway = random_() % registries_.size();
    const auto prompt = static_cast<size_t>(random_() % static_cast<uint32_t>(scenario_.prompts));
    request.route = prompt % scenario_.outputs.size();
    request.sent_ms = ms_;
    RunnerRegistry& registry = registries_[request.gateway];
    const uint64_t prefix = RendezvousHash(std::to_string(prompt));
    PlacementQuery query;
    query.service = "llm";
    query.self = names_[request.gateway];
    query.gateways = &names_;
    query.prefix_hash = scenario_.prefix_tokens > 0 ? prefix : 0;
    query.random = static_cast<double>(random_() % 1'000) / 1e3;
    RequestWork work;
    work.objective = Millis(kObjectiveMs);
    work.prompt_tokens = scenario_.prefix_tokens + scenario_.own_tokens;
    work.shared_tokens = scenario_.prefix_tokens;
    if (scenario_.by_time) query.work = work;
    const Placement placement = PlaceRequest(query, registry, now());
    if (placement.runner.empty()) return;
    ++outcome_.placed;
    outcome_.moved += placement.by_time ? 1 : 0;
    RunnerState& state = *registry.Find(placement.runner);
    const RunnerWork at = WorkAt(state, work.prompt_tokens, now()).value_or(RunnerWork{});
    request.uncached_tokens =
        work.prompt_tokens - (placement.runner == placement.home ? work.shared_tokens : 0);
    request.slowdown = registry.work().Service("llm").Slowdown(at.pace);
    request.queued = at.full || at.waiting > 0 || at.reading > 0 || at.placed > 0;
    registry.OnPlaced(placement.runner, work.prompt_tokens, now());
    EngineReplay& engine = engines_[state.record.port - 1U];
    const bool cached = !engine.cached.insert(prefix).second;
    request.prompt_left_ms =
        static_cast<double>(scenario_.own_tokens + (cached ? 0 : scenario_.prefix_tokens)) /
        kTokensPerMs;
    engine.queue.push_back(request);
  }

  Scenario scenario_;
  std::mt19937 random_{20261206};
  std::vector<std::string> names_;
  std::vector<RunnerRegistry> registries_;
  std::vector<EngineReplay> engines_;
  std::deque<Sent> sent_;
  std::vector<int64_t> times_ms_;
  uint64_t last_id_ = 0;
  int64_t ms_ = 0;
  Outcome outcome_;
};

Outcome Simulate(Scenario scenario, bool by_time, int64_t duration_ms = 12'000) {
  scenario.by_time = by_time;
  return Simulation(scenario).Run(duration_ms);
}

/// Returns runners that are all expected to answer after 60 ms, and have no requests.
std::vector<TimedRunner> FastRunners(size_t count) {
  std::vector<TimedRunner> runners(count);
  for (size_t i = 0; i < count; ++i) {
    runners[i] = {Millis(60), 0, Millis(20), RendezvousHash(std::to_string(i)), true};
  }
  return runners;
}

}  // namespace

TEST_GROUP(WorkPlacement){};

// Simulates 50 runners, of which 15 in 100 take 2.5 times as long for 0.6 s, and 27 gateways with
// 16 requests a second each. Guards against prompts that stay at a slow home.
TEST(WorkPlacement, RequestsLeaveSlowRunners) {
  const Outcome without_rule = Simulate({}, false);
  const Outcome now = Simulate({}, true);
  CHECK(without_rule.late_share() > 0.07);
  CHECK(now.late_share() < without_rule.late_share() * 0.7);
  LONGS_EQUAL(without_rule.placed, now.placed);
}

// Guards against estimates whose errors move requests that nothing delays.
TEST(WorkPlacement, RequestsStayWhileNoRunnerIsSlow) {
  const Outcome without_rule = Simulate({.slow_share = 0}, false);
  const Outcome now = Simulate({.slow_share = 0}, true);
  CHECK(now.late <= without_rule.late);
  CHECK(now.moved * 20 < now.answered);
}

// Simulates reports that are 0.2 s old, with 40 in 100 runners slow. Guards against gateways that
// all fill the runners that were idle, and against moves that make other runners read the prompts
// again until all of them are overloaded.
TEST(WorkPlacement, StaleReportsCauseNoOverload) {
  const Scenario scenario{.slow_share = 0.4, .report_delay_ms = 200};
  const Outcome without_rule = Simulate(scenario, false);
  const Outcome now = Simulate(scenario, true);
  CHECK(now.late < without_rule.late);
  CHECK(now.median_ms <= without_rule.median_ms * 12 / 10);
}

// Simulates a demand that leaves 20 in 100 of the capacity. Guards against the same chain of moves.
TEST(WorkPlacement, HighDemandCausesNoOverload) {
  const Scenario scenario{.per_second = 800, .slow_share = 0};
  CHECK(Simulate(scenario, true).late <= Simulate(scenario, false).late);
}

// Simulates prompts of equal size whose outputs take 0.2 or 8 s, at runners with few slots. Guards
// against requests that wait for one of the long runs while another runner has a free slot.
TEST(WorkPlacement, RequestsDoNotWaitForLongRuns) {
  const Scenario scenario{.runners = 8,
                          .gateways = 1,
                          .per_second = 9,
                          .slow_share = 0,
                          .slots = 6,
                          .prefix_tokens = 0,
                          .outputs = {10, 400}};
  const Outcome without_rule = Simulate(scenario, false, 60'000);
  const Outcome now = Simulate(scenario, true, 60'000);
  CHECK(without_rule.late > 50);
  CHECK(now.late * 4 < without_rule.late);
}

// Guards against other choices than those by affinity and load while figures are missing, as with
// sidecars of an earlier version.
TEST(WorkPlacement, WithoutAPaceNothingChanges) {
  const Scenario scenario{.measure_pace = false};
  const Outcome without_rule = Simulate(scenario, false);
  const Outcome now = Simulate(scenario, true);
  LONGS_EQUAL(0, now.moved);
  LONGS_EQUAL(without_rule.late, now.late);
}

// Guards against moves for a gain within the error of the estimates, or to runners that would be
// late too.
TEST(WorkPlacement, AHomeIsKeptUnlessAnotherRunnerIsClearlyFaster) {
  std::vector<TimedRunner> runners = FastRunners(10);
  runners[3].expected = Millis(149);
  CHECK_FALSE(ChooseByExpectedTime(runners, 3, Millis(kObjectiveMs)).has_value());
  runners[3].expected = Millis(160);
  CHECK(ChooseByExpectedTime(runners, 3, Millis(kObjectiveMs)).has_value());
  for (TimedRunner& runner : runners) runner.reading = Millis(110);
  runners[3].reading = Millis(30);
  CHECK_FALSE(ChooseByExpectedTime(runners, 3, Millis(kObjectiveMs)).has_value());
  runners[3].expected = Millis(400);
  for (TimedRunner& runner : runners) runner.unread = 4;
  CHECK_FALSE(ChooseByExpectedTime(runners, 3, Millis(kObjectiveMs)).has_value());
  for (TimedRunner& runner : runners) runner = {Millis(250), 0, Millis(20), 1, true};
  runners[3].expected = Millis(900);
  CHECK_FALSE(ChooseByExpectedTime(runners, 3, Millis(kObjectiveMs)).has_value());
  runners[3].expected.reset();
  CHECK_FALSE(ChooseByExpectedTime(runners, 3, Millis(kObjectiveMs)).has_value());
}

// Guards against gateways that have the same reports and all choose the same runner.
TEST(WorkPlacement, PromptsOfASlowHomeSpread) {
  std::set<size_t> chosen;
  for (uint64_t prompt = 0; prompt < 27; ++prompt) {
    std::vector<TimedRunner> runners = FastRunners(50);
    runners[7].expected = Millis(250);
    runners[9].expected = Millis(59);  // The least expected time, by an error of the estimate.
    for (TimedRunner& runner : runners) runner.rank = RendezvousMix(prompt, runner.rank);
    chosen.insert(*ChooseByExpectedTime(runners, 7, Millis(kObjectiveMs)));
  }
  CHECK(chosen.size() > 15);
  LONGS_EQUAL(0, chosen.count(7));
}

// Guards against single requests that take ten times the median and raise the estimates.
TEST(WorkPlacement, LongTimesOfSingleRequestsCountLittle) {
  ServiceWork work;
  for (int i = 0; i < 20; ++i) work.OnPace(Millis(20));
  CHECK_FALSE(work.ExpectedFirstEvent({}, 1'000).has_value());
  for (int i = 0; i < 400; ++i) {
    const int64_t tokens = 600 + 1'800 * (i % 3 == 0 ? 1 : 0);
    work.OnFirstEvent(tokens, 1, i % 50 == 7 ? Millis(1'100) : Millis(20 + tokens / 30));
  }
  const Duration fast = *work.ExpectedFirstEvent({}, 600);
  CHECK(fast > Millis(35) && fast < Millis(55));
  const Duration slow = *work.ExpectedFirstEvent({.pace = Millis(50)}, 600);
  CHECK(slow > fast * 24 / 10 && slow < fast * 26 / 10);
  CHECK(*work.ExpectedFirstEvent({.reading = 2}, 600) > fast + Millis(50));
}

}  // namespace fuchsiaweir
