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

/// Chooses the counts that a gateway sends: those that changed, the most important first, as many
/// as fit into a short message. The rest follows in later messages; counts are since the order, so
/// that nothing is lost.
class CountsSelection {
 public:
  CountsByRoute Take(const CountsByRoute& counts);
  /// From now on all counts are sent again: to another leader, or because messages may be lost.
  void Reset() { sent_.clear(); }

 private:
  CountsByRoute sent_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ROLLOUT_MESSAGES_H_
