#ifndef FUCHSIAWEIR_GATEWAY_FORWARDER_H_
#define FUCHSIAWEIR_GATEWAY_FORWARDER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/event_check.h"
#include "core/event_splitter.h"
#include "core/memory_budget.h"
#include "core/random_sequence.h"
#include "gateway/admission.h"
#include "gateway/attempt_monitor.h"
#include "gateway/crash_attribution.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "gateway/notice_reports.h"
#include "gateway/part_watch.h"
#include "gateway/planned_stop.h"
#include "gateway/refusal_writer.h"
#include "gateway/report_probe.h"
#include "gateway/request_placer.h"
#include "gateway/rollout_control.h"
#include "gateway/runner_channel.h"
#include "gateway/runner_check.h"
#include "gateway/stream_origins.h"
#include "gateway/work_observer.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// Forwards callers' requests to runners: admission, placement, sending, retries and responses.
class Forwarder : public Component {
 public:
  Forwarder(ComponentRegistry& components, FleetView& view, PartWatch& parts, MemoryBudget& memory);
  ~Forwarder() override;

  Awaitable<void> Handle(HttpExchange& exchange);
  /// Receives the other gateways' reports of crashes.
  CrashAttribution& crash_attribution() { return crash_attribution_; }
  /// Receives the other gateways' reports of what runners said.
  NoticeReports& notice_reports() { return notice_reports_; }
  /// From now on only requests that are expected to end before `end` are taken: the process stops.
  void BeginDrain(TimePoint end) { planned_stop_.Begin(end); }
  /// Cancels the attempts of all requests whose callers have no part of an answer yet, and answers
  /// these requests.
  void EndRequests();
  /// Logs the requests that the end of the process cuts.
  void RecordCutRequests();
  /// Number of requests that have not been answered.
  size_t in_flight() const { return requests_.size(); }

 private:
  enum class AttemptResult;

  Awaitable<void> ProcessRequest(ForwardedRequest& request);
  /// Sends the request to the runner once.
  Awaitable<AttemptResult> RunAttempt(ForwardedRequest& request, const Placement& placement);
  Awaitable<AttemptResult> ExchangeMessages(ForwardedRequest& request, RunnerChannel& channel,
                                            const std::string& runner, std::string header);
  /// Copies the events of a runner's stream to the caller.
  Awaitable<AttemptResult> RelayStream(ForwardedRequest& request, RunnerChannel& channel,
                                       const RunnerHeader& header, const std::string& runner);
  /// Whether the response can go on with the stream that the caller already has part of.
  static bool ContinuesStream(const ForwardedRequest& request, const RunnerHeader& header);
  /// Appends the complete events that the caller does not have yet. Returns false if the runner
  /// sent something else.
  static bool TakeEvents(ForwardedRequest& request, EventSplitter& splitter, EventCheck& check,
                         std::string& events);
  /// Records that the runner's response did not arrive or is incomplete.
  AttemptResult RecordBrokenAttempt(ForwardedRequest& request, RunnerChannel& channel,
                                    const std::string& runner);
  std::string EncodeRunnerRequest(ForwardedRequest& request, const RunnerState& runner);
  bool MayRetry(ForwardedRequest& request, AttemptResult result);
  static RolloutOutcome OutcomeFor(AttemptResult result);
  void Tick(TimePoint now);
  /// Cancels the attempt if the caller has disconnected, or if a retry at another runner is due.
  void CheckAttempt(ForwardedRequest& request, TimePoint now);

  FleetView& view_;
  PartWatch& parts_;
  Metrics& metrics_;
  RolloutControl& rollouts_;
  StreamOrigins& origins_;
  RandomSequence random_;
  RunnerChannelPool channels_;
  MemoryBudget& memory_;
  RunnerCheck runner_check_;
  ReportProbe report_probe_;
  CrashAttribution crash_attribution_;
  NoticeReports notice_reports_;
  AdmissionController admission_;
  AttemptMonitor monitor_;
  std::set<ForwardedRequest*> requests_;
  RequestPlacer placer_;
  WorkObserver work_observer_;
  RefusalWriter refusals_;
  PlannedStop planned_stop_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FORWARDER_H_
