#include "gateway/weight_orders.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <utility>

#include "core/load_rollout.h"
#include "core/millis_text.h"
#include "core/unix_time.h"
#include "net/log.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {
namespace {

constexpr char kFenceKind[] = "fuchsiaweir-fences";
constexpr Duration kReportPeriod = Millis(120);
constexpr Duration kOrderPeriod = Millis(100);
/// Interval of decisions while newer weights are named, and of reads of the runner's report while
/// it prepares its load and loads. Each step that is seen late costs capacity then.
constexpr Duration kTurnPeriod = Millis(40);
/// Share of the deadline for new weights within which the last runner starts to load.
constexpr double kRolloutShare = 0.55;
/// Time after new weights were named during which sidecars exchange reports.
constexpr Duration kRolloutDuration = Seconds(30);
/// An order without a response may be executed seconds later. Until then the sidecar waits for the
/// runner's report to show it.
constexpr Duration kUnansweredOrderTimeout = Seconds(3);
/// Maximum wait for the runner's report to show an order that got a response.
constexpr Duration kAnsweredOrderTimeout = Millis(400);
/// Minimum interval of attempts to get a fencing token. All sidecars try at once when weights are
/// named, and each failed attempt is logged.
constexpr Duration kFenceRetryPeriod = Millis(500);
/// Consecutive failed reads of the report after which the runner counts as silent.
constexpr int64_t kMaxMissedReports = 3;

}  // namespace

WeightOrders::WeightOrders(ComponentRegistry& components, FleetView& view)
    : io_(components.io()),
      view_(view),
      report_timer_(components.io()),
      order_timer_(components.io()),
      metrics_(components.Find<Metrics>("metrics")),
      client_(components.Find<HttpClients>("http_clients").external()) {}

void WeightOrders::Start() {
  SpawnService(io_, "report", [this]() { return ReportLoop(); });
  SpawnService(io_, "orders", [this]() { return OrderLoop(); });
}

Awaitable<void> WeightOrders::Stop() {
  stopping_ = true;
  co_return;
}

const RunnerState* WeightOrders::FindRunner() {
  const Endpoint runner = view_.settings().runner_endpoint();
  const RunnerState* found = nullptr;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.port != runner.port || state.record.address != runner.address) continue;
    // After a restart the runner may be listed under two ids for a while.
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
      if (missed >= kMaxMissedReports) {
        LogInfo("runner_answers", {{"runner", view_.settings().runner}});
      }
      missed = 0;
      report->pace = pace_.OnReport(*report, SteadyNow());
      OnReport(std::move(*report));
    } else if (++missed >= kMaxMissedReports) {
      if (missed == kMaxMissedReports) {
        LogWarning("runner_silent", {{"runner", view_.settings().runner}});
      }
      SendReport(LoadMessage{view_.settings().runner_endpoint(), std::nullopt});
    }
    // While the runner does not answer, it is asked no more often than usual.
    report_timer_.expires_after(missed == 0 && InTurn() ? kTurnPeriod : kReportPeriod);
    boost::system::error_code woken;
    co_await report_timer_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
}

void WeightOrders::OnReport(EngineReport report) {
  const TimePoint now = SteadyNow();
  if (report_ && report_->weights_version != report.weights_version) {
    announce_ = true;  // Another runner waits for the end of this load.
    LogInfo("weights_loaded", {{"runner", view_.settings().runner},
                               {"version", absl::StrCat(report.weights_version)},
                               {"after_order_ms", Ms(now - ordered_at_)},
                               {"runs_finished_after_ms", Ms(last_busy_at_ - ordered_at_)}});
  }
  if (report.running > 0) last_busy_at_ = now;
  run_ages_.Observe(report.unrepeatable_runs, now);
  report_ = report;
  if (InTurn()) order_timer_.cancel();
  // Between two periodic reports only a change of the turn is sent, and each report between the
  // announcement of a load and its order, since one may be lost.
  const bool claims = turn_.phase() == WeightLoadPhase::kLoading && turn_.ready();
  if (!announce_ && !claims && now - sent_at_ < kReportPeriod - kTurnPeriod / 2) return;
  announce_ = false;
  sent_at_ = now;
  report.phase = std::max(report.phase, turn_.phase());
  report.ready_to_load = turn_.ready();
  report.has_long_runs = run_ages_.Oldest(now) >= kLongRun;
  sent_long_runs_ = report.has_long_runs;
  SendReport(LoadMessage{view_.settings().runner_endpoint(), std::move(report)});
}

bool WeightOrders::InTurn() const {
  return turn_.phase() != WeightLoadPhase::kServing ||
         (report_ && report_->phase == WeightLoadPhase::kLoading);
}

void WeightOrders::AnnounceTurn() {
  announce_ = true;
  report_timer_.cancel();
}

LoadRollout WeightOrders::CurrentRollout(const WeightsHistory& history) {
  const RunnerState* runner = FindRunner();
  const TimePoint now = SteadyNow();
  LoadRollout rollout;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.service != runner->record.service) continue;
    if (state.record.draining || state.replaced) continue;
    rollout.runners.push_back(DescribeRunner(id, state, now));
    RolloutRunner& described = rollout.runners.back();
    // The reports of this process are not sent to itself.
    if (id == runner->record.id) {
      described.weights_version = report_->weights_version;
      described.long_runs = sent_long_runs_;
    }
    described.lag = history.VersionLag(described.weights_version, now);
  }
  rollout.version = history.newest();
  if (watched_version_ != rollout.version) {
    watched_version_ = rollout.version;
    watched_since_ = now;
  }
  rollout.watched = now - watched_since_;
  // For a runner that missed several versions the time counts from the first of them.
  rollout.elapsed = history.VersionLag(report_->weights_version, now);
  rollout.window = Micros(
      static_cast<int64_t>(static_cast<double>(view_.settings().weights_ms) * 1e3 * kRolloutShare));
  return rollout;
}

void WeightOrders::SendReport(const LoadMessage& message) {
  view_.BroadcastToGateways(message);
  const TimePoint now = SteadyNow();
  for (const auto& [model, history] : view_.all_weights()) {
    // No version is known of a model that was named with version 0 only.
    if (history.named().empty()) continue;
    // Sidecars need each other's reports only to take turns during a rollout.
    const bool recent = now - history.named().rbegin()->second < kRolloutDuration;
    if (recent) return view_.BroadcastToSidecars(message);
  }
}

Awaitable<void> WeightOrders::OrderLoop() {
  bool due = false;
  while (!stopping_) {
    order_timer_.expires_after(due ? kTurnPeriod : kOrderPeriod);
    boost::system::error_code woken;
    co_await order_timer_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    const RunnerState* runner = FindRunner();
    const WeightsHistory* history = report_ ? view_.weights(report_->model) : nullptr;
    due = runner != nullptr && !runner->record.draining && history != nullptr &&
          history->newest() > report_->weights_version &&
          report_->phase != WeightLoadPhase::kLoading;
    if (!due) {
      turn_.Reset();
      continue;
    }
    // The store has lost the write that gave the token.
    if (fence_history_ < view_.store_history()) fence_ = 0;
    // Without a token the runner cannot be ordered to load, so it stays in service until then.
    if (fence_ == 0) {
      if (SteadyNow() < next_fence_at_) continue;
      next_fence_at_ = SteadyNow() + kFenceRetryPeriod;
      const bool has_token = co_await AcquireFencingToken();
      if (!has_token) continue;
    }
    co_await TakeTurn(*history);
  }
}

Awaitable<void> WeightOrders::TakeTurn(const WeightsHistory& history) {
  const RunnerState* runner = FindRunner();
  if (runner == nullptr || !report_) co_return;
  const LoadRollout rollout = CurrentRollout(history);
  const LoadTurn::Step step =
      turn_.Advance(rollout, runner->record.id, !report_->unrepeatable_runs.empty(), SteadyNow());
  if (step != LoadTurn::Step::kWait) {
    metrics_
        .Counter("fuchsiaweir_weight_load_steps_total", "Steps of the runner towards a load.",
                 {{"step", std::string(Name(step))}})
        .Increment();
    AnnounceTurn();
  }
  if (step == LoadTurn::Step::kAnnounceFinishing) {
    LogInfo("weights_finishing", {{"runner", runner->record.id},
                                  {"version", absl::StrCat(history.newest())},
                                  {"elapsed_ms", Ms(rollout.elapsed)}});
  } else if (step == LoadTurn::Step::kAnnounceServing) {
    LogInfo("weights_withdrawn", {{"runner", runner->record.id},
                                  {"version", absl::StrCat(history.newest())},
                                  {"runs", absl::StrCat(report_->unrepeatable_runs.size())},
                                  {"elapsed_ms", Ms(rollout.elapsed)}});
  } else if (step == LoadTurn::Step::kOrder) {
    co_await SendOrder(history);
  }
}

Awaitable<bool> WeightOrders::AcquireFencingToken() {
  // Each write of the object gets a higher revision than all earlier ones, including a write by the
  // process that replaces this one on another host. Its position is therefore a fencing token.
  const std::string name = view_.settings().name;
  const std::string kind = kFenceKind;
  boost::json::value spec = boost::json::object{{"started_ms", UnixMillis()}};
  platform::StoreResult result = co_await view_.store().Create(kind, name, spec);
  if (result.outcome == platform::StoreOutcome::kConflict) {
    result = co_await view_.store().Read(kind, name);
    if (result.outcome == platform::StoreOutcome::kDone) {
      result = co_await view_.store().Replace(kind, name, result.revision, spec);
    }
  }
  if (result.outcome != platform::StoreOutcome::kDone) {
    LogInfo("no_fence", {{"outcome", std::string(Name(result.outcome))}});
    co_return false;
  }
  fence_ = FencingToken(result.position());
  fence_history_ = result.history;
  LogInfo("fence_taken", {{"fence", absl::StrCat(fence_)}});
  co_return true;
}

Awaitable<void> WeightOrders::SendOrder(const WeightsHistory& history) {
  const RunnerState* runner = FindRunner();
  if (runner == nullptr || !report_) co_return;
  platform::WeightOrder order;
  order.model = report_->model;
  order.version = history.newest();
  order.holder = view_.settings().name;
  order.fence = fence_;
  order.sequence = report_->accepted_orders;
  order.runner_id = runner->record.id;
  // If only resumable runs are left, the runner aborts them and the gateways resume them at other
  // runners.
  order.abort_runs = report_->unrepeatable_runs.empty();
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
  // Reports lag, so this waits until one shows the load or the new weights.
  const TimePoint until =
      SteadyNow() + (outcome == platform::OrderOutcome::kUnknown ? kUnansweredOrderTimeout
                                                                 : kAnsweredOrderTimeout);
  while (SteadyNow() < until && report_->weights_version < order.version &&
         report_->phase != WeightLoadPhase::kLoading) {
    co_await SleepFor(kReportPeriod);
  }
  turn_.Reset();
}

}  // namespace fuchsiaweir
