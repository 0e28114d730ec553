#ifndef FUCHSIAWEIR_GATEWAY_ROLLOUT_CONTROL_H_
#define FUCHSIAWEIR_GATEWAY_ROLLOUT_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/answer_times.h"
#include "core/rollout_leader.h"
#include "core/rollout_member.h"
#include "core/rollout_record.h"
#include "core/service_versions.h"
#include "core/version_rule.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "gateway/peer_link.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Rolls out versions of services, together with the other gateways: tells placement which
/// versions a request may go to, collects evidence from the answers, and, at the leader of a
/// rollout, decides and writes its status to the store. Inactive without a canary share.
class RolloutControl : public Component {
 public:
  RolloutControl(ComponentRegistry& components, FleetView& view);

  /// Returns the runners that the request may go to first; null if there is no preference.
  const VersionRule* FirstChoice(const ForwardedRequest& request, TimePoint now);
  /// Returns the runners that requests of the service may go to; null if all. The rules are valid
  /// until the next suspension of the calling coroutine.
  const VersionRule* Rule(const std::string& service, TimePoint now);
  /// Whether a request that was placed at the runner may be sent.
  bool MayReceive(const RunnerRecord& runner, TimePoint now);

  /// Counts a request that was placed at the runner.
  void OnPlaced(const ForwardedRequest& request, const std::string& runner);
  /// Counts a request that is being sent to the runner.
  void OnSent(ForwardedRequest& request, const RunnerState& runner, TimePoint now);
  /// Takes the end of an attempt as evidence.
  void OnAttemptEnd(ForwardedRequest& request, const std::string& runner, RolloutOutcome outcome);

  void OnMessage(const RolloutEvidenceMessage& message);
  void OnMessage(const RolloutStepMessage& message);

 private:
  /// A rollout in progress.
  struct Rollout {
    RolloutMember member;
    RolloutLeader leader;
    CountsSelection selection = {};
    std::string reported_to = {};  ///< Leader that got the last report.
    int64_t reports = 0;
    RolloutStep logged_step = RolloutStep::kCanary;
    std::string logged_reason = {};
  };

  /// An order that another one had replaced before the store came back from an older copy.
  struct EarlierOrder {
    platform::StoredObject object;
    TimePoint applies_at;  ///< Unless the later order is written again before.
  };

  struct Service {
    std::optional<RolloutRecord> record;  ///< Of the order in the store.
    StorePosition position;               ///< Of the order with its status.
    std::optional<EarlierOrder> earlier;
    std::optional<Rollout> rollout;  ///< While the order is carried out.
    /// Result of an order that is not carried out.
    std::optional<RolloutState> result;
    std::string reason;
    TimePoint ordered_at;
    /// Until then the operator may write an order again whose status the store has lost.
    TimePoint rewrites_until;
    ServiceVersions versions;
    std::map<std::string, AnswerTimes> present_times;  ///< By route.
    VersionRule present;
    VersionRule target;
    VersionRule trial;  ///< The runners of the target that serve the requests on trial.
    VersionRule both;
    bool target_listed = false;
    bool writing = false;  ///< A write of the status is in progress.
    TimePoint next_write;
  };

  void OnObject(const platform::StoredObject& object, bool first_listing);
  /// Whether the store lists an earlier order of its copy in place of the known one.
  static bool ListsEarlierOrder(const Service& service, const RolloutRecord& listed, bool restored);
  /// Applies the earlier orders whose later ones have not been written again in time.
  void ApplyEarlierOrders(TimePoint now);
  void OnRemoved(Service& service);
  /// `restored`: the store has come back from an older copy since the last record.
  void OnRecord(RolloutRecord record, Service& service, bool first_listing, bool restored);
  /// Begins to carry out the service's order.
  void Begin(Service& service, bool first_listing);
  /// Applies a status of the order that the store holds.
  void OnState(Service& service);

  void Tick(TimePoint now);
  /// Recomputes the versions and the rules of all services from the list of runners.
  void Refresh(TimePoint now);
  void RefreshRules(const std::string& name, Service& service, TimePoint now);
  void Lead(const std::string& name, Service& service, const std::vector<std::string>& live,
            bool announce, TimePoint now);
  void Report(const std::string& name, Service& service, const std::string& leader, TimePoint now);
  RolloutReport MakeReport(const std::string& name, const Service& service, TimePoint now) const;
  /// Ends an order that is not carried out, or no longer.
  void End(Service& service, RolloutState result, const std::string& reason);
  /// Writes the status unless the store has it, at most one write at a time.
  void WriteStatus(const std::string& name, Service& service, RolloutState state,
                   const std::string& reason, TimePoint now);
  Awaitable<void> SendStatus(std::string name, RolloutState state, std::string reason);
  void LogStep(const std::string& name, Service& service, const std::string& reason, TimePoint now);
  void UpdateMetrics(const std::string& name, const Service& service);
  /// This gateway and the others that were heard just now.
  std::vector<std::string> LiveGateways(TimePoint now) const;
  int64_t PresentRequests(const std::string& name, const std::string& target) const;

  boost::asio::io_context& io_;
  FleetView& view_;
  PeerLink& link_;
  Metrics& metrics_;
  bool enabled_;
  int64_t start_;  ///< Identifies this start of the process.
  std::map<std::string, Service> services_;
  TimePoint next_report_;
  TimePoint next_announcement_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ROLLOUT_CONTROL_H_
