#include "gateway/crash_attribution.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// A lost runner that shows no sign of a crash within this time does not count as crashed.
constexpr Duration kConfirmTimeout = Seconds(5);

}  // namespace

std::optional<Duration> CrashAttribution::Admit(const ForwardedRequest& request, TimePoint now) {
  const std::optional<TimePoint> until =
      suspects_.Admit(request.traits, view_.settings().name, view_.live_gateways(), now);
  if (!until) return std::nullopt;
  return *until - now;
}

void CrashAttribution::OnSent(const ForwardedRequest& request) {
  const std::vector<std::string> traits = suspects_.Suspected(request.traits);
  if (traits.empty()) return;
  LogInfo("request_on_trial",
          {{"request", request.caller.id}, {"traits", absl::StrJoin(traits, ",")}});
  view_.BroadcastToGateways(TrialMessage{traits});
}

void CrashAttribution::OnRunnerLost(const ForwardedRequest& request, const std::string& runner) {
  const RunnerState* state = view_.runner_registry().Find(runner);
  if (state == nullptr) return;
  CrashReport report{request.service, runner, request.traits, request.sent_at, SteadyNow()};
  pending_.push_back({std::move(report), state->record.started_ms});
}

void CrashAttribution::OnAnswer(const ForwardedRequest& request, TimePoint began_at) {
  const std::vector<std::string> cleared =
      suspects_.OnAnswer(request.service, request.traits, began_at);
  if (!cleared.empty()) {
    view_.BroadcastToGateways(ClearMessage{cleared, SteadyNow() - began_at});
  }
}

void CrashAttribution::ConfirmCrashes(TimePoint now) {
  std::erase_if(pending_, [&](const Pending& pending) {
    const RunnerState* state = view_.runner_registry().Find(pending.report.runner);
    const bool crashed = state == nullptr || state->record.started_ms != pending.started_ms ||
                         state->replaced || state->Suspected(now);
    const CrashReport& report = pending.report;
    if (!crashed) {
      const bool expired = now - report.lost_at > kConfirmTimeout;
      if (expired) {
        LogInfo("crash_not_confirmed",
                {{"runner", pending.report.runner},
                 {"traits", absl::StrJoin(report.traits, ",")},
                 {"lost_age_ms", absl::StrCat(ToMillis(now - report.lost_at))}});
      }
      return expired;
    }
    RecordCrash(report, now);
    confirmed_.push_back({report, kCrashReportSends});
    return true;
  });
  std::erase_if(confirmed_, [&](Confirmed& confirmed) {
    const CrashReport& report = confirmed.report;
    view_.BroadcastToGateways(CrashMessage{report.service, report.runner, report.traits,
                                           now - report.sent_at, now - report.lost_at});
    return --confirmed.sends_left == 0;
  });
  metrics_
      .Gauge("fuchsiaweir_crash_suspects",
             "Requests and parts of prompts that stood in a crash and were not answered since.")
      .Set(static_cast<double>(suspects_.size()));
}

void CrashAttribution::OnCrash(const CrashMessage& message) {
  const TimePoint now = SteadyNow();
  RecordCrash({message.service, message.runner, message.traits, now - message.sent_age,
               now - message.lost_age},
              now);
}

void CrashAttribution::RecordCrash(const CrashReport& report, TimePoint now) {
  for (const std::string& trait : suspects_.OnCrash(report, now)) {
    const std::optional<TimePoint> until = suspects_.RefusedUntil({trait}, now);
    LogInfo("request_suspect", {{"trait", trait},
                                {"runner", report.runner},
                                {"crashes", absl::StrCat(suspects_.Crashes(trait))},
                                {"sent_age_ms", absl::StrCat(ToMillis(now - report.sent_at))},
                                {"lost_age_ms", absl::StrCat(ToMillis(now - report.lost_at))},
                                {"other_answers", absl::StrCat(suspects_.OtherAnswers(trait))},
                                {"refused_ms", absl::StrCat(until ? ToMillis(*until - now) : 0)}});
  }
}

}  // namespace fuchsiaweir
