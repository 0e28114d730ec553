#include "gateway/crash_attribution.h"

#include <absl/strings/str_cat.h>

#include "core/unix_time.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// Crashed runners after which a request is not sent again.
constexpr size_t kMaxCrashes = 3;
/// Time within which a crash shows after a request was cut off.
constexpr Duration kBlameTime = Seconds(5);

}  // namespace

bool CrashAttribution::Refuses(const std::string& digest) const {
  const auto record = poison_.records().find(digest);
  return record != poison_.records().end() && record->second.crashes.size() >= kMaxCrashes;
}

void CrashAttribution::Suspect(const std::string& digest, const std::string& runner) {
  const RunnerState* state = view_.runner_registry().Find(runner);
  if (state == nullptr) return;
  pending_.push_back({digest, runner, state->record.started_ms, SteadyNow()});
}

void CrashAttribution::Confirm(TimePoint now) {
  std::erase_if(pending_, [&](const Pending& blame) {
    const RunnerState* state = view_.runner_registry().Find(blame.runner);
    const bool crashed = state == nullptr || state->record.started_ms != blame.started_ms ||
                         state->report_failed || state->Avoided(now);
    if (!crashed) return now - blame.since > kBlameTime;
    const CrashMessage message{blame.digest, absl::StrCat(blame.runner, "@", blame.started_ms)};
    OnCrash(message);
    view_.Broadcast(message);
    return true;
  });
}

void CrashAttribution::OnCrash(const CrashMessage& message) {
  poison_.RecordCrash(message.crash, {message.digest}, UnixMillis());
  const auto record = poison_.records().find(message.digest);
  const size_t crashes = record == poison_.records().end() ? 0 : record->second.crashes.size();
  LogInfo(
      "request_suspect",
      {{"digest", message.digest}, {"crash", message.crash}, {"crashes", absl::StrCat(crashes)}});
}

}  // namespace fuchsiaweir
