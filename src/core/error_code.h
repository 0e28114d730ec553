#ifndef FUCHSIAWEIR_CORE_ERROR_CODE_H_
#define FUCHSIAWEIR_CORE_ERROR_CODE_H_

#include <optional>
#include <string_view>

namespace fuchsiaweir {

/// Stable error codes of the caller API and of the internal messages.
enum class ErrorCode {
  kBadRequest,
  kUnauthorized,
  kNotFound,
  kUnknownModel,
  kUnknownService,
  kTooLarge,
  kTimeout,
  kOverloaded,
  kQuotaExceeded,
  kOutOfService,
  kNoTarget,
  kPlatformUnavailable,
  kConflict,
  kKeyReused,
  kKeyExpired,
  kInProgress,
  kPoisoned,
  kCold,
  kTargetFailed,
  kTargetCrashed,  ///< The target crashed while it ran the request, which is therefore suspect.
  kIncompleteAnswer,
  kInternal,
};

/// Returns the name of the code in JSON bodies, for example "quota_exceeded".
std::string_view Name(ErrorCode code);

/// Parses the result of `Name`.
std::optional<ErrorCode> ErrorCodeFromName(std::string_view name);

/// Returns the HTTP status of responses with the code.
int HttpStatus(ErrorCode code);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ERROR_CODE_H_
