#include "gateway/crash_attribution.h"

#include <absl/strings/str_cat.h>

#include "core/unix_time.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// A request that crashed this many runners is not sent again.
constexpr size_t kMaxCrashes = 3;
/// A lost runner that shows no sign of a crash within this time does not count as crashed.
constexpr Duration kConfirmTimeout = Seconds(5);

}  // namespace

bool CrashAttribution::IsPoisoned(const std::string& digest) const {
  const auto record = poison_tracker_.records().find(digest);
  return record != poison_tracker_.records().end() && record->second.crashes.size() >= kMaxCrashes;
}

void CrashAttribution::OnRunnerLost(const std::string& digest, const std::string& runner) {
  const RunnerState* state = view_.runner_registry().Find(runner);
  if (state == nullptr) return;
  pending_.push_back({digest, runner, state->record.started_ms, SteadyNow()});
}

void CrashAttribution::ConfirmCrashes(TimePoint now) {
  std::erase_if(pending_, [&](const Pending& pending) {
    const RunnerState* state = view_.runner_registry().Find(pending.runner);
    const bool crashed = state == nullptr || state->record.started_ms != pending.started_ms ||
                         state->report_failed || state->Avoided(now);
    if (!crashed) return now - pending.lost_at > kConfirmTimeout;
    const CrashMessage message{pending.digest,
                               absl::StrCat(pending.runner, "@", pending.started_ms)};
    OnCrash(message);
    view_.BroadcastToGateways(message);
    return true;
  });
}

void CrashAttribution::OnCrash(const CrashMessage& message) {
  poison_tracker_.RecordCrash(message.crash, {message.digest}, UnixMillis());
  const auto record = poison_tracker_.records().find(message.digest);
  const size_t crashes =
      record == poison_tracker_.records().end() ? 0 : record->second.crashes.size();
  LogInfo(
      "request_suspect",
      {{"digest", message.digest}, {"crash", message.crash}, {"crashes", absl::StrCat(crashes)}});
}

}  // namespace fuchsiaweir
