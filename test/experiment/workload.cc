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
constexpr double kOffPeakLoad = 0.6;  ///< Share of the peak rate outside the middle of the run.
constexpr double kPeakFrom = 0.35;
constexpr double kPeakTo = 0.8;
constexpr uint64_t kHotPrefix = 1'000'000'007;
constexpr int kHotPrefixBlocks = 6;
constexpr int kFloodTeam = 9;
const std::vector<double> kTeamShares = {24, 20, 16, 8, 8, 6, 6, 4, 4, 4};

double MeanTurns(const RequestKind& kind) { return 1 / (1 - kind.return_probability); }

/// Mean prompt tokens and mean requests per first request.
std::pair<double, double> MeanLoad(const Deployment& deployment) {
  double tokens = 0;
  double requests = 0;
  for (const RequestKind& kind : deployment.kinds) {
    const double turns = MeanTurns(kind);
    const double mean = static_cast<double>(kind.min_prompt + kind.max_prompt) / 2;
    requests += kind.share * turns;
    if (!kind.plain_call) tokens += kind.share * turns * mean;
  }
  return {tokens, requests};
}

double PeakSessionsPerSecond(const Deployment& deployment) {
  const double capacity = static_cast<double>(deployment.runners * kPrefillTokensPerSecond);
  return deployment.peak_load * capacity / MeanLoad(deployment).first;
}

Duration DrawGap(Random& random) {
  // Truncated Pareto distribution by inversion.
  const double low = std::pow(kMinGapSeconds, -kGapTailExponent);
  const double high = std::pow(kMaxGapSeconds, -kGapTailExponent);
  const double seconds =
      std::pow(absl::Uniform(random, high, low), -1 / kGapTailExponent) / kGapCompression;
  return Micros(static_cast<int64_t>(seconds * 1e6));
}

struct TraceWriter {
  const Deployment& deployment;
  TimePoint end;
  Random random;
  std::vector<Request> requests;
  uint64_t sessions = 0;

  Request First(TimePoint arrival) {
    std::discrete_distribution<int> kinds = KindWeights();
    std::discrete_distribution<int> teams(kTeamShares.begin(), kTeamShares.end());
    Request request;
    request.arrival = arrival;
    request.kind = kinds(random);
    request.team = teams(random);
    request.session = ++sessions;
    FillFromKind(request);
    return request;
  }

  std::discrete_distribution<int> KindWeights() const {
    std::vector<double> shares;
    shares.reserve(deployment.kinds.size());
    for (const RequestKind& kind : deployment.kinds) shares.push_back(kind.share);
    return {shares.begin(), shares.end()};
  }

  void FillFromKind(Request& request) {
    const RequestKind& kind = deployment.kinds[request.kind];
    request.prompt_tokens = absl::Uniform(random, kind.min_prompt, kind.max_prompt + 1);
    request.output_tokens = absl::Uniform(random, kind.min_output, kind.max_output + 1);
    request.plain_call = kind.plain_call;
    request.ttft_deadline = kind.ttft_deadline;
  }

  void AppendSession(Request request) {
    const double again = deployment.kinds[request.kind].return_probability;
    while (request.arrival < end) {
      requests.push_back(request);
      if (!absl::Bernoulli(random, again)) return;
      Request next = request;
      // A caller reads the answer first: about 20 ms per token.
      next.arrival += Millis(20 * request.output_tokens) + DrawGap(random);
      next.turn += 1;
      next.known_tokens = request.whole_blocks() * kBlockTokens;
      next.prompt_tokens += request.output_tokens + absl::Uniform(random, 50, 400);
      if (next.arrival < end) requests.back().next_return = next.arrival;
      request = next;
    }
  }
};

void AppendSessions(TraceWriter& writer, double peak_rate) {
  TimePoint now{};
  while (true) {
    const double gap = absl::Exponential(writer.random, peak_rate);
    now += Micros(static_cast<int64_t>(gap * 1e6));
    if (now >= writer.end) return;
    const double at = ToSeconds(now - TimePoint{}) / ToSeconds(writer.end - TimePoint{});
    const bool peak = at >= kPeakFrom && at < kPeakTo;
    if (!peak && !absl::Bernoulli(writer.random, kOffPeakLoad)) continue;
    writer.AppendSession(writer.First(now));
  }
}

Request SurgeRequest(TraceWriter& writer, Surge::Kind kind, TimePoint now) {
  Request request = writer.First(now);
  request.plain_call = false;
  request.ttft_deadline = Seconds(10);
  if (kind == Surge::Kind::kFlood) {
    request.flood = true;
    request.team = kFloodTeam;
    request.prompt_tokens = 6000;
    request.output_tokens = 100;
    return request;
  }
  request.team = 0;
  request.shared_prefix = kHotPrefix;
  request.shared_blocks = kHotPrefixBlocks;
  request.known_tokens = kHotPrefixBlocks * kBlockTokens;
  request.prompt_tokens =
      kHotPrefixBlocks * kBlockTokens + absl::Uniform<int64_t>(writer.random, 100, 600);
  request.output_tokens = 60;
  return request;
}

void AppendSurge(TraceWriter& writer, const Surge& surge) {
  if (surge.kind == Surge::Kind::kNone) return;
  const double length = ToSeconds(writer.end - TimePoint{});
  // The flood alone asks for 0.6 of the fleet's prefill capacity.
  const double flood_rate = 0.6 * writer.deployment.runners * kPrefillTokensPerSecond / 6000.0;
  const double rate = surge.kind == Surge::Kind::kFlood ? flood_rate : 12;
  double at = surge.from * length;
  while ((at += absl::Exponential(writer.random, rate)) < surge.to * length) {
    const TimePoint now = TimePoint{} + Micros(static_cast<int64_t>(at * 1e6));
    writer.requests.push_back(SurgeRequest(writer, surge.kind, now));
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
  const double mean_profile = (kPeakTo - kPeakFrom) + (1 - (kPeakTo - kPeakFrom)) * kOffPeakLoad;
  const double rate =
      PeakSessionsPerSecond(deployment) * mean_profile * MeanLoad(deployment).second;
  return Micros(static_cast<int64_t>(static_cast<double>(requests) / rate * 1e6));
}

std::vector<Request> DrawTrace(const Deployment& deployment, const Surge& surge, int64_t requests,
                               uint64_t seed) {
  TraceWriter writer{deployment, TimePoint{} + RunLength(deployment, requests), Random(seed), {}};
  AppendSessions(writer, PeakSessionsPerSecond(deployment));
  AppendSurge(writer, surge);
  std::stable_sort(writer.requests.begin(), writer.requests.end(),
                   [](const Request& a, const Request& b) { return a.arrival < b.arrival; });
  return std::move(writer.requests);
}

}  // namespace fuchsiaweir::experiment
