#ifndef FUCHSIAWEIR_GATEWAY_UPLOADS_H_
#define FUCHSIAWEIR_GATEWAY_UPLOADS_H_

#include <cstdint>

#include "core/clock.h"
#include "core/memory_budget.h"
#include "core/upload_budget.h"
#include "net/http_server.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Returns the response to a caller whose request is refused before its body is received, and logs
/// it.
HttpResponse RespondToRefusedRequest(const HttpRequest& request, const RequestRefusal& refusal);

/// Advances the budget of a gateway's memory and reports it in metrics and the log.
class MemoryReports {
 public:
  MemoryReports(Metrics& metrics, MemoryBudget& memory, const UploadBudget& uploads)
      : metrics_(metrics), memory_(memory), uploads_(uploads) {}

  void OnTimer(TimePoint now);

 private:
  void LogEvictions(TimePoint now);

  Metrics& metrics_;
  MemoryBudget& memory_;
  const UploadBudget& uploads_;
  int64_t logged_evictions_ = 0;
  TimePoint logged_at_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_UPLOADS_H_
