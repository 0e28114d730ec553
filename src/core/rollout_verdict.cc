#include "core/rollout_verdict.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

/// Bad answers after which doubts are enough. The limit of the time in which a bad version must get
/// no requests any more counts from about this number on.
constexpr int64_t kManyBadAnswers = 40;
/// Doubts of a good version come and go, so a single one must not revert it.
constexpr double kManyBadStrictness = 10;
/// Answers on all routes below which the test rarely finds a bad version.
constexpr int64_t kLittleEvidence = 100;
/// Fewer bad answers may have one cause that is not the version, such as one broken connection.
constexpr int64_t kMinBadAnswers = 3;
/// Expected bad answers from which the sum over all routes is close to a normal distribution.
constexpr double kMinExpected = 3;
/// Recent answers of the present version that are enough to compare with.
constexpr int64_t kMinRecentAnswers = 20;
constexpr double kNegligible = 1e-12;

/// Logarithm of the number of ways to choose k of n.
double LogChoose(int64_t n, int64_t k) {
  const auto log_factorial = [](int64_t m) { return std::lgamma(static_cast<double>(m) + 1); };
  return log_factorial(n) - log_factorial(k) - log_factorial(n - k);
}

double BadShare(const VersionCounts& counts) {
  return counts.answers == 0
             ? 0
             : static_cast<double>(counts.bad()) / static_cast<double>(counts.answers);
}

void Add(const VersionCounts& counts, VersionCounts& sum) {
  sum.answers += counts.answers;
  sum.failures += counts.failures;
  sum.slow += counts.slow;
}

/// Whether the counts can be compared: no fewer answers than bad ones, and none negative. A message
/// may have lost a part.
bool Comparable(const VersionCounts& counts) {
  return counts.answers > 0 && counts.failures >= 0 && counts.slow >= 0 &&
         counts.bad() <= counts.answers;
}

double Excess(const RouteVerdict& compared) {
  return BadShare(compared.target) - BadShare(compared.present);
}

RolloutVerdict VerdictOf(const RouteVerdict& compared, const VerdictLevels& levels, bool little) {
  if (compared.target.bad() < kMinBadAnswers) return RolloutVerdict::kGood;
  if (Excess(compared) < levels.min_excess) return RolloutVerdict::kGood;
  if (compared.probability <= levels.bad) return RolloutVerdict::kBad;
  const bool many = compared.target.bad() >= kManyBadAnswers;
  if (many && compared.probability <= levels.doubtful / kManyBadStrictness) {
    return RolloutVerdict::kBad;
  }
  return compared.probability <= (little ? levels.doubtful_if_little : levels.doubtful)
             ? RolloutVerdict::kDoubtful
             : RolloutVerdict::kGood;
}

/// Compares all routes together by the sums of the expected bad answers and their variances within
/// each route (Mantel-Haenszel).
RouteVerdict CompareStrata(const CountsByRoute& counts) {
  RouteVerdict all;
  all.route = "*";
  double expected = 0;
  double variance = 0;
  int64_t observed = 0;
  for (const auto& [route, both] : counts) {
    if (!Comparable(both.present) || !Comparable(both.target)) continue;
    const auto n1 = static_cast<double>(both.target.answers);
    const auto n2 = static_cast<double>(both.present.answers);
    const double total = n1 + n2;
    const auto bad = static_cast<double>(both.target.bad() + both.present.bad());
    expected += n1 * bad / total;
    if (total > 1) variance += n1 * n2 * bad * (total - bad) / (total * total * (total - 1));
    observed += both.target.bad();
    Add(both.target, all.target);
    Add(both.present, all.present);
  }
  if (expected < kMinExpected || variance <= 0) return all;
  const double deviation = (static_cast<double>(observed) - 0.5 - expected) / std::sqrt(variance);
  all.probability = deviation <= 0 ? 1 : std::erfc(deviation / std::sqrt(2.0)) / 2;
  return all;
}

void KeepWorse(const RouteVerdict& other, RouteVerdict& worst) {
  const bool worse = other.verdict > worst.verdict ||
                     (other.verdict == worst.verdict && other.probability < worst.probability);
  if (worse) worst = other;
}

}  // namespace

double ProbabilityIfEqual(const VersionCounts& present, const VersionCounts& target) {
  if (!Comparable(present) || !Comparable(target)) return 1;
  const int64_t bad = present.bad() + target.bad();
  const int64_t good = present.answers + target.answers - bad;
  const double all = LogChoose(bad + good, target.answers);
  double probability = 0;
  for (int64_t k = target.bad(); k <= std::min(bad, target.answers); ++k) {
    if (target.answers - k > good) continue;
    const double term = std::exp(LogChoose(bad, k) + LogChoose(good, target.answers - k) - all);
    probability += term;
    // Beyond the most probable number the terms only fall.
    const bool falling = static_cast<double>(k) * static_cast<double>(bad + good) >
                         static_cast<double>(bad) * static_cast<double>(target.answers);
    if (falling && term < probability * kNegligible) break;
  }
  return std::min(1.0, probability);
}

RouteVerdict JudgeVersion(const CountsByRoute& counts, const VerdictLevels& levels) {
  RouteVerdict worst;
  RouteVerdict all = CompareStrata(counts);
  const bool little = all.target.answers < kLittleEvidence;
  for (const auto& [route, both] : counts) {
    RouteVerdict compared;
    compared.route = route;
    compared.present = both.present;
    compared.target = both.target;
    // The sum over the tail is long for versions that differ little.
    if (both.target.bad() >= kMinBadAnswers && Excess(compared) >= levels.min_excess) {
      compared.probability = ProbabilityIfEqual(both.present, both.target);
    }
    compared.verdict = VerdictOf(compared, levels, little);
    KeepWorse(compared, worst);
  }
  all.verdict = VerdictOf(all, levels, little);
  KeepWorse(all, worst);
  return worst;
}

RouteVerdict JudgeEvidence(RolloutEvidence& evidence, bool shifted, TimePoint now) {
  const CountsByRoute total = evidence.Total();
  CountsByRoute recent = evidence.Recent(now);
  for (auto& [route, counts] : recent) {
    // After the shift the old version has no recent answers.
    if (counts.present.answers >= kMinRecentAnswers) continue;
    const auto known = total.find(route);
    if (known != total.end()) counts.present = known->second.present;
  }
  const VerdictLevels& levels = shifted ? kShiftedLevels : kFleetLevels;
  RouteVerdict worst = JudgeVersion(total, levels);
  // The recent answers are judged anew all the time, so that doubts about them are usual.
  const RouteVerdict now_worst = JudgeVersion(recent, levels);
  if (now_worst.verdict == RolloutVerdict::kBad) KeepWorse(now_worst, worst);
  return worst;
}

}  // namespace fuchsiaweir
