#ifndef FUCHSIAWEIR_CORE_RUN_MESSAGE_H_
#define FUCHSIAWEIR_CORE_RUN_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// An entry's request to an agent to run a prompt on one of its runners.
struct RunRequest {
  std::string run;
  int64_t attempt = 1;
  std::string runner;
  std::string team;
  std::string model;
  std::vector<std::string> prompt;    ///< Tokens of the prompt.
  std::vector<std::string> produced;  ///< Output tokens that the caller already has.
  int64_t max_tokens = 0;             ///< Limit of the whole output, including produced tokens.
  int64_t priority = 0;               ///< Higher values run first.
  int64_t deadline_ms = 0;            ///< Remaining time until the caller's deadline.
  bool suspect = false;               ///< A target crashed while it ran this request.
};

std::string EncodeRunRequest(const RunRequest& request);

/// Parses the body of POST /internal/v1/runs. Malformed input gives kBadRequest.
Result<RunRequest> DecodeRunRequest(std::string_view body);

/// An entry's request to an agent to call a plain service.
struct ServiceCall {
  std::string team;
  std::string service;  ///< Name of the service, not of a replica.
  std::string replica;  ///< Replica on the agent's host.
  std::string method;
  std::string path;  ///< Path with query below the service's root.
  std::string content_type;
  std::string body;
  std::string idempotency_key;  ///< Empty when the caller sent none.
  bool non_idempotent = false;
  int64_t deadline_ms = 0;
};

/// The response of a plain service.
struct ServiceResponse {
  int64_t status = 0;
  std::string content_type;
  std::string body;
  bool replayed = false;  ///< Stored response of an earlier call with the same key.
};

std::string EncodeServiceCall(const ServiceCall& call);
Result<ServiceCall> DecodeServiceCall(std::string_view body);
std::string EncodeServiceResponse(const ServiceResponse& response);
Result<ServiceResponse> DecodeServiceResponse(std::string_view body);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUN_MESSAGE_H_
