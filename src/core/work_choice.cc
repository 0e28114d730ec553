#include "core/work_choice.h"

namespace fuchsiaweir {
namespace {

// Share of the objective within which a request stays where its prompt is cached. The other half
// covers the error of the estimate: the median time is a third of the objective.
constexpr double kKeepShare = 0.5;
// Differences below this share of the objective are within the error of the estimate.
constexpr double kToleranceShare = 0.15;

Duration Scale(Duration duration, double factor) {
  return Micros(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<size_t> ChooseByExpectedTime(const std::vector<TimedRunner>& runners, size_t present,
                                           Duration objective) {
  const std::optional<Duration>& current = runners[present].expected;
  if (!current || *current <= Scale(objective, kKeepShare)) return std::nullopt;
  std::optional<Duration> least;
  for (const TimedRunner& runner : runners) {
    if (!runner.usable || !runner.expected) continue;
    if (!least || *runner.expected < *least) least = runner.expected;
  }
  if (!least) return std::nullopt;
  const Duration limit = *least + Scale(objective, kToleranceShare);
  if (*current <= limit) return std::nullopt;
  std::optional<size_t> best;
  for (size_t i = 0; i < runners.size(); ++i) {
    const TimedRunner& runner = runners[i];
    if (!runner.usable || !runner.expected || *runner.expected > limit) continue;
    if (!best || runner.rank > runners[*best].rank) best = i;
  }
  return best;
}

}  // namespace fuchsiaweir
