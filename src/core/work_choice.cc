#include "core/work_choice.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

// Share of the objective within which a request stays where its prompt is cached. The other half
// covers the error of the estimate: the median time is a third of the objective.
constexpr double kKeepShare = 0.5;
// Differences below this share of the objective are within the error of the estimate.
constexpr double kToleranceShare = 0.15;
// Share of the objective within which the other runner must be expected to answer. Beyond it a move
// hardly helps the request, and while the whole service is overloaded it only adds work.
constexpr double kReachShare = 0.7;

Duration Scale(Duration duration, double factor) {
  return Micros(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<size_t> ChooseByExpectedTime(const std::vector<TimedRunner>& runners, size_t present,
                                           Duration objective) {
  const std::optional<Duration>& current = runners[present].expected;
  if (!current || *current <= Scale(objective, kKeepShare)) return std::nullopt;
  // Load pattern: demand close to the capacity. Each move makes another runner read parts of a
  // prompt that are cached here, which delays the requests behind it, on average as many as are
  // unread at a runner. If that cost more time than the request gains, moves would cause more moves
  // until no runner were in time.
  double unread = 0;
  for (const TimedRunner& runner : runners) unread += static_cast<double>(runner.unread);
  unread /= static_cast<double>(runners.size());
  const Duration reach = Scale(objective, kReachShare);
  const auto gain = [&](const TimedRunner& runner) {
    if (!runner.usable || !runner.expected || *runner.expected > reach) return Duration::min();
    const Duration extra = std::max(Duration{0}, runner.reading - runners[present].reading);
    return *current - *runner.expected - Scale(extra, 1 + unread);
  };
  Duration greatest = Duration::min();
  for (const TimedRunner& runner : runners) greatest = std::max(greatest, gain(runner));
  const Duration tolerance = Scale(objective, kToleranceShare);
  if (greatest <= tolerance) return std::nullopt;
  std::optional<size_t> best;
  for (size_t i = 0; i < runners.size(); ++i) {
    if (gain(runners[i]) < greatest - tolerance) continue;
    if (!best || runners[i].rank > runners[*best].rank) best = i;
  }
  return best;
}

}  // namespace fuchsiaweir
