#include "core/leading_fetch.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Patience beyond the expected arrival: a quarter of it covers an estimate that is a little high,
// and the constant covers scheduling delays of short fetches.
constexpr int64_t kPatienceDivisor = 4;
constexpr Duration kPatience = Millis(20);

Duration TimeFor(double amount, double per_second) {
  if (amount <= 0) return Duration(0);
  if (per_second <= 0) return kNever;
  const double micros = std::ceil(amount / per_second * 1e6);
  return Duration(static_cast<int64_t>(std::min(micros, static_cast<double>(kNever.count()))));
}

/// Time until the slowest link has delivered its part of the first `count` blocks.
Duration ArrivalOf(const std::vector<BlockCopy>& copies, size_t count,
                   const std::vector<LinkState>& links) {
  std::vector<int64_t> bytes(links.size(), 0);
  for (size_t i = 0; i < count; ++i) {
    if (copies[i].link >= links.size()) return kNever;
    bytes[copies[i].link] += copies[i].bytes;
  }
  Duration arrival{0};
  for (size_t i = 0; i < links.size(); ++i) {
    if (bytes[i] == 0) continue;
    const auto queue = static_cast<double>(links[i].queued_bytes + bytes[i]);
    const Duration end = links[i].latency + TimeFor(queue, links[i].bytes_per_second);
    arrival = std::max(arrival, std::min(end, kNever));
  }
  return arrival;
}

}  // namespace

LeadingFetch PlanLeadingFetch(const LeadingFetchRequest& demand,
                              const std::vector<LinkState>& links, const PrefillState& prefill,
                              Duration remaining) {
  LeadingFetch best;
  Duration best_finish = kNever;
  for (size_t count = 1; count <= demand.copies.size(); ++count) {
    const Duration arrival = ArrivalOf(demand.copies, count, links);
    if (arrival >= kNever) break;
    const auto blocks = static_cast<int64_t>(count);
    const auto left = static_cast<int64_t>(demand.copies.size()) - blocks;
    BlockRun fetched{BlockSource::kRemote, blocks * demand.block_tokens, 1, 0};
    BlockRun rest{BlockSource::kMissing, left * demand.block_tokens + demand.rest_tokens, 0, 0};
    // The blocks form one run on one link that delivers its single byte at their arrival.
    const FetchPlan plan =
        PlanFetch({fetched, rest}, {{0, kNever.count() * 1.0, arrival}}, prefill, remaining);
    if (plan.runs.front().action == RunAction::kRecompute) continue;
    if (plan.finish > best_finish) continue;
    best_finish = plan.finish;
    const double tokens = static_cast<double>(prefill.backlog_tokens + fetched.tokens);
    const Duration recompute = TimeFor(tokens, prefill.tokens_per_second);
    const Duration patient = arrival + arrival / kPatienceDivisor + kPatience;
    best = {count, arrival, std::min(patient, recompute)};
  }
  return best;
}

}  // namespace fuchsiaweir
