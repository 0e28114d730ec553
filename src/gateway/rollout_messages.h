#ifndef FUCHSIAWEIR_GATEWAY_ROLLOUT_MESSAGES_H_
#define FUCHSIAWEIR_GATEWAY_ROLLOUT_MESSAGES_H_

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "core/rollout_evidence.h"
#include "core/rollout_leader.h"
#include "core/rollout_schedule.h"

namespace fuchsiaweir {

/// A gateway's evidence about a rollout, for the leader of the rollout.
struct RolloutEvidenceMessage {
  std::string service;
  std::string target;
  RolloutReport report;
};

/// The leader's message to all gateways.
struct RolloutStepMessage {
  std::string sender;
  std::string service;
  std::string target;
  Duration elapsed{0};  ///< As in `RolloutReport`.
  RolloutStep step = RolloutStep::kCanary;
};

boost::json::object EncodeMessage(const RolloutEvidenceMessage& message);
boost::json::object EncodeMessage(const RolloutStepMessage& message);
/// Throw std::exception if a field is missing, has another type or is out of range.
RolloutEvidenceMessage DecodeRolloutEvidence(const boost::json::object& object);
RolloutStepMessage DecodeRolloutStep(const boost::json::object& object);

/// Returns the counts of as many routes as fit into one message, from `first` on in turn, and
/// advances `first`. Later messages carry the others; counts are since the order, so that nothing
/// is lost.
CountsByRoute TakeFittingCounts(const CountsByRoute& counts, std::string& first);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ROLLOUT_MESSAGES_H_
