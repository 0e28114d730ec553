#ifndef FUCHSIAWEIR_GATEWAY_UPLOADS_H_
#define FUCHSIAWEIR_GATEWAY_UPLOADS_H_

#include "core/upload_budget.h"
#include "net/http_server.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Returns the response to a caller whose request body gets no memory, and logs it.
HttpResponse RespondToRefusedUpload(const HttpRequest& request, const UploadRefusal& refusal);

/// Sets the metrics of request bodies.
void ReportUploads(Metrics& metrics, const UploadBudget& uploads);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_UPLOADS_H_
