#include "core/error_code.h"

#include <array>

namespace fuchsiaweir {
namespace {

struct ErrorCodeEntry {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array<ErrorCodeEntry, 22> kErrorCodes = {{
    {ErrorCode::kBadRequest, "bad_request", 400},
    {ErrorCode::kUnauthorized, "unauthorized", 401},
    {ErrorCode::kNotFound, "not_found", 404},
    {ErrorCode::kUnknownModel, "unknown_model", 404},
    {ErrorCode::kUnknownService, "unknown_service", 404},
    {ErrorCode::kTooLarge, "too_large", 413},
    {ErrorCode::kTimeout, "timeout", 408},
    {ErrorCode::kOverloaded, "overloaded", 503},
    {ErrorCode::kQuotaExceeded, "quota_exceeded", 429},
    {ErrorCode::kOutOfService, "out_of_service", 503},
    {ErrorCode::kNoTarget, "no_target", 503},
    {ErrorCode::kPlatformUnavailable, "platform_unavailable", 503},
    {ErrorCode::kConflict, "conflict", 409},
    {ErrorCode::kKeyReused, "key_reused", 422},
    {ErrorCode::kKeyExpired, "key_expired", 422},
    {ErrorCode::kInProgress, "in_progress", 409},
    {ErrorCode::kPoisoned, "poisoned", 422},
    {ErrorCode::kCold, "cold", 503},
    {ErrorCode::kTargetFailed, "target_failed", 502},
    {ErrorCode::kTargetCrashed, "target_crashed", 502},
    {ErrorCode::kIncompleteAnswer, "incomplete_answer", 502},
    {ErrorCode::kInternal, "internal", 500},
}};

}  // namespace

std::string_view Name(ErrorCode code) {
  for (const ErrorCodeEntry& entry : kErrorCodes) {
    if (entry.code == code) return entry.name;
  }
  return "?";
}

std::optional<ErrorCode> ErrorCodeFromName(std::string_view name) {
  for (const ErrorCodeEntry& entry : kErrorCodes) {
    if (entry.name == name) return entry.code;
  }
  return std::nullopt;
}

int HttpStatus(ErrorCode code) {
  for (const ErrorCodeEntry& entry : kErrorCodes) {
    if (entry.code == code) return entry.http_status;
  }
  return 500;
}

}  // namespace fuchsiaweir
