#include "core/origin_inference.h"

namespace fuchsiaweir {
namespace {

/// After this time enough answers suffice: one that is still missing is late or lost.
constexpr Duration kAllAnswersTimeout = Millis(100);
/// Time within which enough holders have to answer.
constexpr Duration kAnswersTimeout = Millis(300);

/// A record has three holders, and up to four processes are asked, so that at least one of two that
/// answer has got it. A single one may be a process that has just ended and still counts as alive;
/// the list alone decides then.
bool EnoughConfirm(const OriginEvidence& evidence) {
  return evidence.holders_answered >= evidence.holders_asked / 2;
}

/// Whether all holders have answered, and there are several. The record of a stream that began
/// while a second version was known would be at one of them, so no current list is needed.
bool AllConfirm(const OriginEvidence& evidence) {
  return evidence.holders_asked >= 2 && evidence.holders_answered == evidence.holders_asked;
}

}  // namespace

OriginDecision InferOrigin(const OriginEvidence& evidence, Duration lifetime, Duration waited,
                           Duration limit) {
  const bool enough = EnoughConfirm(evidence);
  const bool all_ended =
      evidence.holders_answered + evidence.holders_failed >= evidence.holders_asked;
  if (!all_ended && waited < (enough ? kAllAnswersTimeout : kAnswersTimeout)) return {};
  if (evidence.inferred) return {true, evidence.inferred};
  const std::optional<std::string> version = OnlyVersion(evidence.seen, lifetime);
  if (!enough || !version) return {true, std::nullopt};
  if (AllConfirm(evidence)) return {true, version};
  // An older list may lack a version whose runners joined before the stream began.
  if (evidence.list_as_of && *evidence.list_as_of >= evidence.resumed_at) return {true, version};
  return {waited >= limit, std::nullopt};
}

}  // namespace fuchsiaweir
