#ifndef FUCHSIAWEIR_CORE_RESULT_H_
#define FUCHSIAWEIR_CORE_RESULT_H_

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

#include "core/clock.h"
#include "core/error_code.h"
#include "core/run_state.h"

namespace fuchsiaweir {

/// Reason why a request failed, and whether a target executed it.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  RunState run_state = RunState::kNotRun;
  std::string message;
  Duration retry_after{0};  ///< Zero if a later retry is not expected to help.
  /// Runner and engine instance that crashed (kTargetCrashed).
  std::string crashed_instance = {};
};

/// A value or an `Error`. Access to the alternative that is not present terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RESULT_H_
