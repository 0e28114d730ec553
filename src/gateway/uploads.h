#ifndef FUCHSIAWEIR_GATEWAY_UPLOADS_H_
#define FUCHSIAWEIR_GATEWAY_UPLOADS_H_

#include "core/upload_budget.h"
#include "net/http_server.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Returns the response to a caller whose request is refused before its body is received, and logs
/// it.
HttpResponse RespondToRefusedRequest(const HttpRequest& request, const RequestRefusal& refusal);

/// Sets the metrics of request bodies.
void ReportUploads(Metrics& metrics, const UploadBudget& uploads);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_UPLOADS_H_
