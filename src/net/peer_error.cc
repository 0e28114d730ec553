#include "net/peer_error.h"

#include <absl/strings/str_cat.h>

#include "core/json_fields.h"

namespace fuchsiaweir {

Error DecodeErrorResponse(const HttpResponse& response) {
  try {
    const boost::json::object body = ParseJsonObject(response.body);
    const boost::json::object& error = body.at("error").as_object();
    return {ErrorCodeFromName(StringField(error, "code")).value_or(ErrorCode::kInternal),
            RunStateFromName(StringField(error, "run_state")).value_or(RunState::kUnknown),
            StringField(error, "message"), Duration{0}};
  } catch (const std::exception&) {
    return {
        ErrorCode::kInternal, RunState::kUnknown,
        absl::StrCat("peer returned HTTP status ", response.status, " with a malformed error body"),
        Duration{0}};
  }
}

}  // namespace fuchsiaweir
