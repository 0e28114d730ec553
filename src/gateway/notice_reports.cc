#include "gateway/notice_reports.h"

#include <absl/strings/str_cat.h>

#include <optional>

#include "core/unix_time.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr size_t kMaxLoggedValueBytes = 64;

void LogLimit(const std::string& runner, std::optional<double> per_second,
              const std::string& source) {
  LogInfo("runner_limit", {{"runner", runner},
                           {"per_second", per_second ? absl::StrCat(*per_second) : "none"},
                           {"source", source}});
}

}  // namespace

void NoticeReports::OnAnswer(const std::string& runner, int64_t started_ms,
                             const platform::RunnerAnswer& answer) {
  const TimePoint now = SteadyNow();
  // If another runner has the address, the one that the request was meant for is gone anyway.
  if (answer.leaving) RecordLeaving(runner, started_ms, now);
  RecordPause(runner, started_ms, answer, now);
  RecordLimit(runner, answer, now);
}

void NoticeReports::RecordLeaving(const std::string& runner, int64_t started_ms, TimePoint now) {
  if (!view_.runner_registry().notices().MarkLeaving(runner, started_ms, now)) return;
  LogInfo("runner_leaving", {{"runner", runner}, {"started_ms", absl::StrCat(started_ms)}});
  Count("leaving");
}

void NoticeReports::RecordPause(const std::string& runner, int64_t started_ms,
                                const platform::RunnerAnswer& answer, TimePoint now) {
  if (!answer.malformed_pause.empty()) {
    LogWarning("runner_pause_out_of_range",
               {{"runner", runner},
                {"value", answer.malformed_pause.substr(0, kMaxLoggedValueBytes)},
                {"used_ms", absl::StrCat(ToMillis(answer.pause))}});
  }
  if (answer.pause == Duration{0}) return;
  if (!view_.runner_registry().notices().Pause(runner, started_ms, now + answer.pause, now)) return;
  LogInfo("runner_paused", {{"runner", runner},
                            {"started_ms", absl::StrCat(started_ms)},
                            {"for_ms", absl::StrCat(ToMillis(answer.pause))},
                            {"until_ms", absl::StrCat(UnixMillis() + ToMillis(answer.pause))}});
  Count("pause");
}

void NoticeReports::RecordLimit(const std::string& runner, const platform::RunnerAnswer& answer,
                                TimePoint now) {
  if (answer.moved || (!answer.not_run && !answer.has_receipt)) return;
  // A rejection without the field ends no limit.
  if (!answer.request_limit && answer.not_run) return;
  RunnerNotices& limits = view_.runner_registry().notices();
  const bool changed = limits.Update(runner, {answer.request_limit, now});
  const bool reminder_due = limits.ReminderDue(runner, now);
  // The value may differ in each answer, so a new one waits for the next reminder.
  if (!changed && !reminder_due) return;
  LogLimit(runner, answer.request_limit, "answer");
  if (changed && answer.request_limit) Count("limit");
  view_.BroadcastToGateways(LimitMessage{runner, answer.request_limit});
}

void NoticeReports::Count(const std::string& notice) {
  metrics_
      .Counter("fuchsiaweir_runner_notices_total",
               "What runners have said of the requests that they take.", {{"notice", notice}})
      .Increment();
}

void NoticeReports::OnMessage(const LimitMessage& message) {
  const TimePoint now = SteadyNow();
  RunnerNotices& limits = view_.runner_registry().notices();
  const bool changed = limits.Update(message.runner, {message.per_second, now});
  limits.OnReminder(message.runner, now);
  if (changed) LogLimit(message.runner, message.per_second, "gateway");
}

}  // namespace fuchsiaweir
