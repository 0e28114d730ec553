#include "gateway/limit_reports.h"

#include <absl/strings/str_cat.h>

#include <optional>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

void LogLimit(const std::string& runner, std::optional<double> per_second,
              const std::string& source) {
  LogInfo("runner_limit", {{"runner", runner},
                           {"per_second", per_second ? absl::StrCat(*per_second) : "none"},
                           {"source", source}});
}

}  // namespace

void LimitReports::OnAnswer(const std::string& runner, const platform::RunnerAnswer& answer) {
  if (answer.moved || (!answer.not_run && !answer.has_receipt)) return;
  // A rejection without the field ends no limit.
  if (!answer.request_limit && answer.not_run) return;
  const TimePoint now = SteadyNow();
  RequestLimits& limits = view_.runner_registry().request_limits();
  const bool changed = limits.Update(runner, {answer.request_limit, now});
  const bool reminder_due = limits.ReminderDue(runner, now);
  // The value may differ in each answer, so a new one waits for the next reminder.
  if (changed || reminder_due) {
    LogLimit(runner, answer.request_limit, "answer");
    view_.BroadcastToGateways(LimitMessage{runner, answer.request_limit});
  }
}

void LimitReports::OnMessage(const LimitMessage& message) {
  const TimePoint now = SteadyNow();
  RequestLimits& limits = view_.runner_registry().request_limits();
  const bool changed = limits.Update(message.runner, {message.per_second, now});
  limits.OnReminder(message.runner, now);
  if (changed) LogLimit(message.runner, message.per_second, "gateway");
}

}  // namespace fuchsiaweir
