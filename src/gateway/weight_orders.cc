#include "gateway/weight_orders.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/load_rollout.h"
#include "core/unix_time.h"
#include "net/log.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {
namespace {

constexpr char kFenceKind[] = "fuchsiaweir-fences";
constexpr Duration kReportPeriod = Millis(120);
constexpr Duration kOrderPeriod = Millis(100);
/// Between telling the gateways to stop and the order, so that few requests meet a loading runner.
constexpr Duration kClosingTime = Millis(150);
/// A runner that still has runs that only it can finish after this time lets them finish in its
/// load.
constexpr Duration kFinishTime = Millis(2500);
/// Share of the time for new weights within which the last runner's turn comes.
constexpr double kRolloutShare = 0.55;
/// Sidecars hear each other for so long after new weights were named.
constexpr Duration kRolloutTime = Seconds(30);
/// An order without an answer may be carried out seconds later; until then the runner is asked.
constexpr Duration kOrderPatience = Seconds(3);
constexpr int64_t kMissedReports = 3;

std::string Ms(Duration duration) { return absl::StrCat(ToMillis(duration)); }

}  // namespace

WeightOrders::WeightOrders(Kernel& kernel, FleetView& view)
    : io_(kernel.io()), view_(view), client_(kernel.Find<HttpClients>("http_clients").outside()) {}

void WeightOrders::Start() {
  Spawn(io_, "report", [this]() { return ReportLoop(); });
  Spawn(io_, "orders", [this]() { return OrderLoop(); });
}

Awaitable<void> WeightOrders::Stop() {
  stopping_ = true;
  co_return;
}

const RunnerState* WeightOrders::Runner() {
  const Endpoint own = view_.settings().runner_endpoint();
  const RunnerState* found = nullptr;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.port != own.port || state.record.address != own.address) continue;
    // A restarted runner may stand in the list under two ids for a while.
    if (found == nullptr || state.record.started_ms > found->record.started_ms) found = &state;
  }
  return found;
}

Awaitable<void> WeightOrders::ReportLoop() {
  int64_t missed = 0;
  while (!stopping_) {
    Endpoint endpoint = view_.settings().runner_endpoint();
    std::optional<EngineReport> report =
        co_await platform::ReadEngineReport(client_, std::move(endpoint));
    if (report) {
      if (missed >= kMissedReports)
        LogInfo("runner_answers", {{"runner", view_.settings().runner}});
      missed = 0;
      if (report_ && report_->weights_version != report->weights_version) {
        LogInfo("weights_loaded", {{"runner", view_.settings().runner},
                                   {"version", absl::StrCat(report->weights_version)},
                                   {"after_order_ms", Ms(SteadyNow() - ordered_at_)},
                                   {"runs_finished_after_ms", Ms(idle_at_ - ordered_at_)}});
      }
      if (report->running > 0) idle_at_ = SteadyNow();
      report_ = report;
      report->phase = std::max(report->phase, phase_);
      Tell(LoadMessage{view_.settings().runner_endpoint(), report});
    } else if (++missed >= kMissedReports) {
      if (missed == kMissedReports) {
        LogWarning("runner_silent", {{"runner", view_.settings().runner}});
      }
      view_.Broadcast(LoadMessage{view_.settings().runner_endpoint(), std::nullopt});
    }
    co_await SleepFor(kReportPeriod);
  }
}

LoadRollout WeightOrders::Rollout(const WeightsHistory& target) {
  const RunnerState* own = Runner();
  const TimePoint now = SteadyNow();
  LoadRollout rollout;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.service != own->record.service) continue;
    if (state.record.draining || state.replaced) continue;
    const WeightLoadPhase phase =
        state.ReportFresh(now) ? state.report->phase : WeightLoadPhase::kServing;
    rollout.runners.push_back({id, state.record.weights_version, phase});
  }
  rollout.version = target.newest();
  // A runner that missed earlier versions is as late as the first of them.
  rollout.elapsed = target.VersionLag(own->record.weights_version, now);
  rollout.window = Micros(
      static_cast<int64_t>(static_cast<double>(view_.settings().weights_ms) * 1e3 * kRolloutShare));
  return rollout;
}

void WeightOrders::Tell(const LoadMessage& message) {
  view_.Broadcast(message);
  const TimePoint now = SteadyNow();
  for (const auto& [model, target] : view_.all_weights()) {
    // Sidecars need each other's reports only while they take turns.
    const bool recent = now - target.named().rbegin()->second < kRolloutTime;
    if (recent) return view_.TellSidecars(message);
  }
}

Awaitable<void> WeightOrders::OrderLoop() {
  while (!stopping_) {
    co_await SleepFor(kOrderPeriod);
    const RunnerState* own = Runner();
    const WeightsHistory* target = report_ ? view_.weights(report_->model) : nullptr;
    const bool due = own != nullptr && !own->record.draining && target != nullptr &&
                     target->newest() > report_->weights_version &&
                     report_->phase != WeightLoadPhase::kLoading;
    if (!due) {
      phase_ = WeightLoadPhase::kServing;
      continue;
    }
    const TimePoint now = SteadyNow();
    const LoadRollout rollout = Rollout(*target);
    if (phase_ == WeightLoadPhase::kServing) {
      if (!rollout.MayStartFinishing(own->record.id)) continue;
      phase_ = WeightLoadPhase::kFinishing;
      finishing_since_ = now;
      LogInfo("weights_finishing", {{"runner", own->record.id},
                                    {"version", absl::StrCat(target->newest())},
                                    {"elapsed_ms", Ms(rollout.elapsed)}});
    }
    const bool finished = report_->unrepeatable_runs == 0 && now - finishing_since_ > kClosingTime;
    if (!finished && now - finishing_since_ < kFinishTime) continue;
    if (!rollout.MayStartLoading(own->record.id)) continue;
    bool fenced = fence_ != 0;
    if (!fenced) fenced = co_await TakeFence();
    if (!fenced) continue;
    co_await OrderOnce(*target);
  }
}

Awaitable<bool> WeightOrders::TakeFence() {
  // Each write of the object gives a higher revision than all before it, also to the process that
  // replaces this one on another host.
  const std::string name = view_.settings().name;
  const std::string kind = kFenceKind;
  boost::json::value spec = boost::json::object{{"started_ms", UnixMillis()}};
  platform::StoreResult answer = co_await view_.store().Create(kind, name, spec);
  if (answer.outcome == platform::StoreOutcome::kConflict) {
    answer = co_await view_.store().Read(kind, name);
    if (answer.outcome == platform::StoreOutcome::kDone) {
      answer = co_await view_.store().Replace(kind, name, answer.revision, spec);
    }
  }
  if (answer.outcome != platform::StoreOutcome::kDone) {
    LogInfo("no_fence", {{"outcome", std::string(Name(answer.outcome))}});
    co_return false;
  }
  fence_ = answer.revision;
  LogInfo("fence_taken", {{"fence", absl::StrCat(fence_)}});
  co_return true;
}

Awaitable<void> WeightOrders::OrderOnce(const WeightsHistory& target) {
  phase_ = WeightLoadPhase::kLoading;
  co_await SleepFor(kClosingTime);
  const RunnerState* own = Runner();
  if (own == nullptr || !report_) co_return;
  platform::WeightOrder order;
  order.model = report_->model;
  order.version = target.newest();
  order.holder = view_.settings().name;
  order.fence = fence_;
  order.sequence = report_->orders;
  order.runner_id = own->record.id;
  // Gateways let streams that may be resumed go on at other runners.
  order.abort_runs = report_->unrepeatable_runs == 0;
  Endpoint endpoint = view_.settings().runner_endpoint();
  ordered_at_ = SteadyNow();
  const platform::OrderOutcome outcome =
      co_await platform::SendWeightOrder(client_, std::move(endpoint), order);
  LogInfo("weights_ordered", {{"runner", order.runner_id},
                              {"version", absl::StrCat(order.version)},
                              {"replaces", absl::StrCat(report_->weights_version)},
                              {"sequence", absl::StrCat(order.sequence)},
                              {"fence", absl::StrCat(order.fence)},
                              {"cut", order.abort_runs ? "yes" : "no"},
                              {"runs", absl::StrCat(report_->running)},
                              {"outcome", std::string(Name(outcome))}});
  if (outcome == platform::OrderOutcome::kFenced) fence_ = 0;
  // The report shows the load with a delay; it ends the wait when the weights are there.
  const TimePoint until =
      SteadyNow() + (outcome == platform::OrderOutcome::kUnknown ? kOrderPatience : Millis(400));
  while (SteadyNow() < until && report_->weights_version < order.version &&
         report_->phase != WeightLoadPhase::kLoading) {
    co_await SleepFor(kReportPeriod);
  }
  phase_ = WeightLoadPhase::kServing;
}

}  // namespace fuchsiaweir
