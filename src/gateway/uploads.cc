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

void ReportUploads(Metrics& metrics, const UploadBudget& uploads) {
  metrics.Gauge("fuchsiaweir_body_bytes_held", "Bytes of request bodies that are held.")
      .Set(static_cast<double>(uploads.used_bytes()));
  metrics.Gauge("fuchsiaweir_uploads_waiting", "Requests whose bodies wait for memory.")
      .Set(static_cast<double>(uploads.waiting()));
  metrics.Gauge("fuchsiaweir_uploads_refused", "Requests whose bodies got no memory.")
      .Set(static_cast<double>(uploads.refusals()));
}

}  // namespace fuchsiaweir
