#include "core/run_message.h"

#include <absl/strings/str_cat.h>

#include <stdexcept>

#include "core/http_status.h"
#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

/// Calls a decoder and converts its exceptions to kBadRequest.
template <typename Message>
Result<Message> DecodeMessage(std::string_view body, Message (*decode)(const json::object&)) {
  try {
    return decode(ParseJsonObject(body));
  } catch (const std::exception& e) {
    return Error{ErrorCode::kBadRequest, RunState::kNotRun,
                 std::string("malformed message: ") + DecodeErrorMessage(e), Duration{0}};
  }
}

}  // namespace

std::string EncodeRunRequest(const RunRequest& request) {
  return json::serialize(json::object{{"run", request.run},
                                      {"attempt", request.attempt},
                                      {"runner", request.runner},
                                      {"team", request.team},
                                      {"model", request.model},
                                      {"prompt", ToJsonArray(request.prompt)},
                                      {"produced", ToJsonArray(request.produced)},
                                      {"max_tokens", request.max_tokens},
                                      {"priority", request.priority},
                                      {"deadline_ms", request.deadline_ms},
                                      {"suspect", request.suspect}});
}

Result<RunRequest> DecodeRunRequest(std::string_view body) {
  return DecodeMessage<RunRequest>(body, [](const json::object& object) {
    RunRequest request;
    request.run = StringField(object, "run");
    request.attempt = IntegerField(object, "attempt");
    request.runner = StringField(object, "runner");
    request.team = StringField(object, "team");
    request.model = StringField(object, "model");
    request.prompt = StringListField(object, "prompt");
    request.produced = StringListField(object, "produced");
    request.max_tokens = IntegerField(object, "max_tokens");
    request.priority = IntegerField(object, "priority");
    request.deadline_ms = IntegerField(object, "deadline_ms");
    request.suspect = BooleanField(object, "suspect");
    return request;
  });
}

std::string EncodeServiceCall(const ServiceCall& call) {
  return json::serialize(json::object{{"team", call.team},
                                      {"service", call.service},
                                      {"replica", call.replica},
                                      {"method", call.method},
                                      {"path", call.path},
                                      {"content_type", call.content_type},
                                      {"body", call.body},
                                      {"idempotency_key", call.idempotency_key},
                                      {"non_idempotent", call.non_idempotent},
                                      {"deadline_ms", call.deadline_ms}});
}

Result<ServiceCall> DecodeServiceCall(std::string_view body) {
  return DecodeMessage<ServiceCall>(body, [](const json::object& object) {
    ServiceCall call;
    call.team = StringField(object, "team");
    call.service = StringField(object, "service");
    call.replica = StringField(object, "replica");
    call.method = StringField(object, "method");
    call.path = StringField(object, "path");
    call.content_type = StringField(object, "content_type");
    call.body = StringField(object, "body");
    call.idempotency_key = StringField(object, "idempotency_key");
    call.non_idempotent = BooleanField(object, "non_idempotent");
    call.deadline_ms = IntegerField(object, "deadline_ms");
    return call;
  });
}

std::string EncodeServiceResponse(const ServiceResponse& response) {
  return json::serialize(json::object{{"status", response.status},
                                      {"content_type", response.content_type},
                                      {"body", response.body},
                                      {"replayed", response.replayed}});
}

Result<ServiceResponse> DecodeServiceResponse(std::string_view body) {
  return DecodeMessage<ServiceResponse>(body, [](const json::object& object) {
    ServiceResponse response;
    response.status = IntegerField(object, "status");
    if (!IsFinalHttpStatus(response.status)) {
      throw std::invalid_argument(absl::StrCat("\"status\" is ", response.status));
    }
    response.content_type = StringField(object, "content_type");
    response.body = StringField(object, "body");
    response.replayed = BooleanField(object, "replayed");
    return response;
  });
}

}  // namespace fuchsiaweir
