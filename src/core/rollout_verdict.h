#ifndef FUCHSIAWEIR_CORE_ROLLOUT_VERDICT_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_VERDICT_H_

#include <string>
#include <string_view>

#include "core/enum_names.h"
#include "core/rollout_evidence.h"

namespace fuchsiaweir {

/// What the evidence says of a version; a larger value is worse.
enum class RolloutVerdict {
  kGood,      ///< Nothing speaks against it; also without evidence.
  kDoubtful,  ///< Worse than chance explains easily; more evidence is needed.
  kBad,
};

inline constexpr EnumNames<RolloutVerdict, 3> kRolloutVerdictNames = {{
    {RolloutVerdict::kGood, "good"},
    {RolloutVerdict::kDoubtful, "doubtful"},
    {RolloutVerdict::kBad, "bad"},
}};

/// How sure a verdict has to be: the largest probability of the counts if both versions are alike.
struct VerdictLevels {
  double doubtful = 0;
  double doubtful_if_little = 0;  ///< Same with few answers of the target.
  double bad = 0;
  double min_excess = 0;  ///< Smallest difference of the shares of bad answers.
};

/// Of the evidence of all gateways while both versions run beside each other.
inline constexpr VerdictLevels kFleetLevels = {3e-3, 2e-2, 3e-5, 0.03};
/// Of the evidence after the shift: the old version's answers are from an earlier time.
inline constexpr VerdictLevels kShiftedLevels = {1e-3, 1e-2, 1e-5, 0.1};
/// Of one gateway's own evidence: each of many gateways judges.
inline constexpr VerdictLevels kGatewayLevels = {1e-6, 1e-6, 1e-6, 0.05};

struct RouteVerdict {
  RolloutVerdict verdict = RolloutVerdict::kGood;
  std::string route;  ///< The worst one; "*": all together.
  double probability = 1;
  VersionCounts present;
  VersionCounts target;
};

/// Probability that two versions with equal rates of bad answers differ at least so much, by the
/// exact one-sided test of two proportions (Fisher); 1 if one has no answers.
double ProbabilityIfEqual(const VersionCounts& present, const VersionCounts& target);

/// Compares the target with the present version on each route, and on all routes together in
/// strata. Returns the worst result.
///
/// Load pattern: on some routes 14 in 100 answers are failures, whatever the version, and a version
/// may be worse on one route only. Rates are therefore compared within a route.
RouteVerdict JudgeVersion(const CountsByRoute& counts, const VerdictLevels& levels);

/// Judges all answers since the order and the recent ones, and returns the worse result. `shifted`:
/// the old version gets no requests any more.
RouteVerdict JudgeEvidence(RolloutEvidence& evidence, bool shifted, TimePoint now);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_VERDICT_H_
