#include "experiment/workload.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace fuchsiaweir::experiment {
namespace {

using Random = std::mt19937_64;

constexpr double kMinGapSeconds = 120;
constexpr double kMaxGapSeconds = 3 * 86'400.0;
constexpr double kGapTailExponent = 0.6;
constexpr double kOffPeakLoad = 0.6;  ///< Session rate off peak / at peak.
constexpr double kPeakStart = 0.35;   ///< Fraction of the run.
constexpr double kPeakEnd = 0.8;      ///< Fraction of the run.
constexpr Duration kReadingTimePerToken = Millis(20);
constexpr uint64_t kHotPrefixId = 1'000'000'007;
constexpr int kHotPrefixBlocks = 6;
constexpr double kHotPrefixRequestsPerSecond = 12;
constexpr int kFloodTeam = 9;
constexpr int64_t kFloodPromptTokens = 6000;
constexpr double kFloodLoad = 0.6;  ///< Prompt tokens of the flood / prefill capacity.
const std::vector<double> kTeamShares = {24, 20, 16, 8, 8, 6, 6, 4, 4, 4};

double MeanTurns(const RequestClass& request_class) {
  return 1 / (1 - request_class.return_probability);
}

/// Mean prompt tokens and mean requests per first request.
std::pair<double, double> MeanLoad(const Deployment& deployment) {
  double tokens = 0;
  double requests = 0;
  for (const RequestClass& request_class : deployment.classes) {
    const double turns = MeanTurns(request_class);
    const double mean =
        static_cast<double>(request_class.min_prompt + request_class.max_prompt) / 2;
    requests += request_class.share * turns;
    if (!request_class.service_call) tokens += request_class.share * turns * mean;
  }
  return {tokens, requests};
}

double PeakSessionsPerSecond(const Deployment& deployment) {
  const double capacity = static_cast<double>(deployment.runners * kPrefillTokensPerSecond);
  return deployment.peak_load * capacity / MeanLoad(deployment).first;
}

Duration DrawReturnGap(Random& random) {
  // Truncated Pareto distribution by inversion.
  const double low = std::pow(kMinGapSeconds, -kGapTailExponent);
  const double high = std::pow(kMaxGapSeconds, -kGapTailExponent);
  const double seconds =
      std::pow(absl::Uniform(random, high, low), -1 / kGapTailExponent) / kGapCompression;
  return Micros(static_cast<int64_t>(seconds * 1e6));
}

struct TraceGenerator {
  const Deployment& deployment;
  TimePoint end;
  Random random;
  std::vector<Request> requests;
  uint64_t sessions = 0;

  Request FirstRequest(TimePoint arrival) {
    std::discrete_distribution<int> classes = ClassWeights();
    std::discrete_distribution<int> teams(kTeamShares.begin(), kTeamShares.end());
    Request request;
    request.arrival = arrival;
    request.class_index = classes(random);
    request.team = teams(random);
    request.session = ++sessions;
    FillFromClass(request);
    return request;
  }

  std::discrete_distribution<int> ClassWeights() const {
    std::vector<double> shares;
    shares.reserve(deployment.classes.size());
    for (const RequestClass& request_class : deployment.classes) {
      shares.push_back(request_class.share);
    }
    return {shares.begin(), shares.end()};
  }

  void FillFromClass(Request& request) {
    const RequestClass& request_class = deployment.classes[request.class_index];
    request.prompt_tokens =
        absl::Uniform(random, request_class.min_prompt, request_class.max_prompt + 1);
    request.output_tokens =
        absl::Uniform(random, request_class.min_output, request_class.max_output + 1);
    request.service_call = request_class.service_call;
    request.ttft_deadline = request_class.ttft_deadline;
  }

  void AppendSession(Request request) {
    const double return_probability = deployment.classes[request.class_index].return_probability;
    while (request.arrival < end) {
      requests.push_back(request);
      if (!absl::Bernoulli(random, return_probability)) return;
      Request next = request;
      // The caller reads the response before the gap begins.
      next.arrival += kReadingTimePerToken * request.output_tokens + DrawReturnGap(random);
      next.turn += 1;
      next.reusable_tokens = request.complete_blocks() * kBlockTokens;
      next.prompt_tokens += request.output_tokens + absl::Uniform(random, 50, 400);
      if (next.arrival < end) requests.back().next_return = next.arrival;
      request = next;
    }
  }
};

void AppendSessions(TraceGenerator& generator, double peak_rate) {
  TimePoint now{};
  while (true) {
    const double gap = absl::Exponential(generator.random, peak_rate);
    now += Micros(static_cast<int64_t>(gap * 1e6));
    if (now >= generator.end) return;
    const double fraction = ToSeconds(now - TimePoint{}) / ToSeconds(generator.end - TimePoint{});
    const bool peak = fraction >= kPeakStart && fraction < kPeakEnd;
    if (!peak && !absl::Bernoulli(generator.random, kOffPeakLoad)) continue;
    generator.AppendSession(generator.FirstRequest(now));
  }
}

Request SurgeRequest(TraceGenerator& generator, Surge::Type type, TimePoint now) {
  Request request = generator.FirstRequest(now);
  request.service_call = false;
  request.ttft_deadline = Seconds(10);
  if (type == Surge::Type::kFlood) {
    request.flood = true;
    request.team = kFloodTeam;
    request.prompt_tokens = kFloodPromptTokens;
    request.output_tokens = 100;
    return request;
  }
  request.team = 0;
  request.shared_prefix = kHotPrefixId;
  request.shared_blocks = kHotPrefixBlocks;
  request.reusable_tokens = kHotPrefixBlocks * kBlockTokens;
  request.prompt_tokens =
      kHotPrefixBlocks * kBlockTokens + absl::Uniform<int64_t>(generator.random, 100, 600);
  request.output_tokens = 60;
  return request;
}

void AppendSurge(TraceGenerator& generator, const Surge& surge) {
  if (surge.type == Surge::Type::kNone) return;
  const double length = ToSeconds(generator.end - TimePoint{});
  const double flood_rate =
      kFloodLoad * generator.deployment.runners * kPrefillTokensPerSecond / kFloodPromptTokens;
  const double rate = surge.type == Surge::Type::kFlood ? flood_rate : kHotPrefixRequestsPerSecond;
  double at = surge.start * length;
  while ((at += absl::Exponential(generator.random, rate)) < surge.end * length) {
    const TimePoint now = TimePoint{} + Micros(static_cast<int64_t>(at * 1e6));
    generator.requests.push_back(SurgeRequest(generator, surge.type, now));
  }
}

}  // namespace

const std::vector<Deployment>& Deployments() {
  static const auto& deployments = *new std::vector<Deployment>{
      {"kyushu",
       {"yanagawa", "dazaifu", "yufuin"},
       12,
       3,
       2,
       Micros(1500),
       Millis(1),
       {{"narration", 0.10, 8000, 24'000, 200, 500, 0.65, Seconds(20)},
        {"question", 0.15, 2000, 8000, 80, 200, 0.5, Seconds(10)},
        {"classification", 0.55, 200, 800, 2, 8, 0.0, Seconds(5)},
        {"booking_look_up", 0.20, 0, 0, 0, 0, 0.0, Seconds(5), true}},
       0.75},
      {"etnee",
       {"catania-nord", "catania-sud", "acireale", "paterno"},
       12,
       4,
       2,
       Millis(1),
       Millis(1),
       {{"consultation", 0.35, 10'000, 30'000, 150, 400, 0.65, Seconds(20)},
        {"lot_matching", 0.30, 1000, 4000, 20, 80, 0.3, Seconds(5)},
        {"deposit_or_refund", 0.35, 0, 0, 0, 0, 0.0, Seconds(5), true}},
       0.75},
  };
  return deployments;
}

Duration RunLength(const Deployment& deployment, int64_t requests) {
  const double mean_profile =
      (kPeakEnd - kPeakStart) + (1 - (kPeakEnd - kPeakStart)) * kOffPeakLoad;
  const double rate =
      PeakSessionsPerSecond(deployment) * mean_profile * MeanLoad(deployment).second;
  return Micros(static_cast<int64_t>(static_cast<double>(requests) / rate * 1e6));
}

std::vector<Request> GenerateTrace(const Deployment& deployment, const Surge& surge,
                                   int64_t requests, uint64_t seed) {
  TraceGenerator generator{
      deployment, TimePoint{} + RunLength(deployment, requests), Random(seed), {}};
  AppendSessions(generator, PeakSessionsPerSecond(deployment));
  AppendSurge(generator, surge);
  std::stable_sort(generator.requests.begin(), generator.requests.end(),
                   [](const Request& a, const Request& b) { return a.arrival < b.arrival; });
  return std::move(generator.requests);
}

}  // namespace fuchsiaweir::experiment
