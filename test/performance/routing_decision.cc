// Measures the time of a complete routing decision of an entry: update of the rate sketch, choice
// of the candidates and choice among their bids.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "core/candidate_choice.h"
#include "core/dispatch_choice.h"
#include "core/hot_prefix_detector.h"

namespace fuchsiaweir {
namespace {

constexpr int kRunnersPerHost = 2;
constexpr int kDataCentres = 4;
constexpr int kTeams = 330;
constexpr size_t kDecisions = 200'000;
constexpr size_t kBidPoolSize = 64;
constexpr int kRequestIntervalMicros = 345;  // 2,900 requests/s.
constexpr int kMaxEstimateMicros = 200'000;
constexpr int kHotPrefixes = 10;

Inventory MakeInventory(int runners, int models) {
  Inventory inventory;
  for (int i = 0; i < kDataCentres; ++i) {
    inventory.data_centres.push_back({"dc" + std::to_string(i), "r"});
  }
  for (int i = 0; i < runners; ++i) {
    const int host = i / kRunnersPerHost;
    const std::string host_name = "host-" + std::to_string(host);
    if (i % kRunnersPerHost == 0) {
      const std::string data_centre = "dc" + std::to_string(host % kDataCentres);
      inventory.hosts.push_back({host_name, data_centre, "", 1, ""});
    }
    Runner runner;
    runner.name = "runner-" + std::to_string(i);
    runner.host = host_name;
    runner.model = "m" + std::to_string(i % models);
    inventory.runners.push_back(runner);
  }
  return inventory;
}

std::string MakePrefixId(uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(32 - digits.size(), 'a') + digits;
}

double Percentile(const std::vector<double>& sorted, double fraction) {
  return sorted[static_cast<size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

/// Makes one decision and returns the index of the chosen bid plus one.
size_t Decide(const CandidateTable& table, HotPrefixDetector& hot_prefixes,
              const CandidateQuery& base_query, const std::vector<Bid>& bid_pool, TimePoint now,
              uint64_t random) {
  CandidateQuery query = base_query;
  const double rate = hot_prefixes.Record(query.prefix_block, now);
  query.count = hot_prefixes.Candidates(rate, base_query.count);
  const std::vector<const CandidateRunner*> candidates = table.Choose(query);
  std::vector<Bid> bids;
  bids.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    bids.push_back(bid_pool[(random + i) % bid_pool.size()]);
    bids.back().runner = candidates[i]->name;
  }
  const auto chosen =
      ChooseBid(bids, candidates.front()->name, hot_prefixes.IsHot(rate), DispatchRules{}, random);
  return chosen.value_or(0) + 1;
}

/// Arguments: number of runners, number of models. One iteration makes `kDecisions` decisions.
void BM_RoutingDecision(benchmark::State& state) {
  const CandidateTable table(
      MakeInventory(static_cast<int>(state.range(0)), static_cast<int>(state.range(1))));
  std::mt19937_64 random(20261204);
  std::vector<Bid> bid_pool;
  bid_pool.reserve(kBidPoolSize);
  for (size_t i = 0; i < kBidPoolSize; ++i) {
    bid_pool.push_back({"", Micros(static_cast<int64_t>(random() % kMaxEstimateMicros)), 0, 0,
                        static_cast<int64_t>(random() % 20)});
  }
  std::vector<double> micros;
  for (auto _ : state) {
    HotPrefixDetector hot_prefixes({});
    micros.clear();
    micros.reserve(kDecisions);
    double total = 0;
    for (size_t i = 0; i < kDecisions; ++i) {
      // Load pattern: a tenth of the requests has one of 10 hot prefixes, up to 29 requests/s each.
      const uint64_t number = i % 10 == 0 ? random() % kHotPrefixes : random();
      const CandidateQuery query{"team-" + std::to_string(random() % kTeams),
                                 "m" + std::to_string(random() % state.range(1)),
                                 MakePrefixId(number),
                                 3,
                                 {}};
      const TimePoint now(Micros(static_cast<int64_t>(i) * kRequestIntervalMicros));
      const uint64_t draw = random();
      const auto start = std::chrono::steady_clock::now();
      benchmark::DoNotOptimize(Decide(table, hot_prefixes, query, bid_pool, now, draw));
      const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
      micros.push_back(elapsed.count() * 1e6);
      total += elapsed.count();
    }
    state.SetIterationTime(total);
  }
  std::sort(micros.begin(), micros.end());
  state.counters["p50_us"] = Percentile(micros, 0.5);
  state.counters["p90_us"] = Percentile(micros, 0.9);
  state.counters["p99_us"] = Percentile(micros, 0.99);
  state.counters["p99.9_us"] = Percentile(micros, 0.999);
}

BENCHMARK(BM_RoutingDecision)
    ->ArgNames({"runners", "models"})
    ->Args({600, 1})
    ->Args({600, 14})
    ->Args({60, 1})
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace fuchsiaweir
