#include "gateway/uploads.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/rendezvous.h"
#include "gateway/forwarded_request.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {
namespace {

/// Bounds of the Retry-After: the time in which a few large uploads arrive, spread by request.
constexpr Duration kMinRetryAfter = Millis(500);
constexpr int64_t kRetryAfterSpreadMs = 1'000;
/// Upper bound of a Retry-After as a share of the caller's remaining time.
constexpr double kMaxRetryAfterShare = 0.3;
/// A flood evicts hundreds of messages a second.
constexpr Duration kEvictionLogInterval = Seconds(5);

}  // namespace

HttpResponse RespondToRefusedRequest(const HttpRequest& request, const RequestRefusal& refusal) {
  const platform::CallerRequest caller = platform::DecodeCallerRequest(request);
  const Duration time_left =
      std::max(Duration{0}, caller.time_left.value_or(kDefaultTimeLeft) - refusal.waited);
  const Duration spread =
      Millis(static_cast<int64_t>(RendezvousHash(caller.id) % kRetryAfterSpreadMs));
  const Duration longest =
      Micros(static_cast<int64_t>(static_cast<double>(time_left.count()) * kMaxRetryAfterShare));
  const Duration retry_after = std::min(kMinRetryAfter + spread, longest);
  HttpResponse response = RespondToRefusal(
      request, refusal,
      {{"request", caller.id}, {"retry_after_ms", absl::StrCat(ToMillis(retry_after))}});
  response.headers = platform::RefusalHeaders(caller.id, retry_after);
  return response;
}

void MemoryReports::OnTimer(TimePoint now) {
  memory_.Advance(now);
  metrics_.Gauge("fuchsiaweir_body_bytes_held", "Bytes of request bodies that are held.")
      .Set(static_cast<double>(uploads_.used_bytes()));
  metrics_.Gauge("fuchsiaweir_uploads_waiting", "Requests whose bodies wait for memory.")
      .Set(static_cast<double>(uploads_.waiting()));
  metrics_.Gauge("fuchsiaweir_uploads_refused", "Requests whose bodies got no memory.")
      .Set(static_cast<double>(uploads_.refusals()));
  metrics_.Gauge("fuchsiaweir_answer_bytes_held", "Bytes of answers that are not delivered yet.")
      .Set(static_cast<double>(memory_.used_bytes(MemoryUse::kAnswer)));
  metrics_.Gauge("fuchsiaweir_answers_evicted", "Answers given up because they filled the memory.")
      .Set(static_cast<double>(memory_.evictions(MemoryUse::kAnswer)));
  metrics_.Gauge("fuchsiaweir_memory_budget_bytes", "Limit of the memory that others can fill.")
      .Set(static_cast<double>(memory_.limit_bytes()));
  metrics_.Gauge("fuchsiaweir_memory_claimed_bytes", "Bytes held or claimed within that limit.")
      .Set(static_cast<double>(memory_.claimed_bytes()));
  metrics_
      .Gauge("fuchsiaweir_stalled_messages_evicted",
             "Messages evicted because their client neither sent nor read.")
      .Set(static_cast<double>(memory_.stalled_evictions()));
  LogEvictions(now);
}

void MemoryReports::LogEvictions(TimePoint now) {
  if (memory_.evictions() == logged_evictions_ || now - logged_at_ < kEvictionLogInterval) return;
  LogWarning("memory_evicted",
             {{"messages", absl::StrCat(memory_.evictions() - logged_evictions_)},
              {"stalled_since_start", absl::StrCat(memory_.stalled_evictions())},
              {"body_bytes", absl::StrCat(memory_.used_bytes(MemoryUse::kBody))},
              {"answer_bytes", absl::StrCat(memory_.used_bytes(MemoryUse::kAnswer))},
              {"peer_bytes", absl::StrCat(memory_.used_bytes(MemoryUse::kPeer))},
              {"connection_bytes", absl::StrCat(memory_.used_bytes(MemoryUse::kConnection))},
              {"limit_bytes", absl::StrCat(memory_.limit_bytes())}});
  logged_evictions_ = memory_.evictions();
  logged_at_ = now;
}

}  // namespace fuchsiaweir
