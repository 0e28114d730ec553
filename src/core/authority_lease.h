#ifndef FUCHSIAWEIR_CORE_AUTHORITY_LEASE_H_
#define FUCHSIAWEIR_CORE_AUTHORITY_LEASE_H_

#include <algorithm>
#include <optional>

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits how long a process accepts API keys after its desired state was last confirmed to be
/// current.
///
/// Load pattern: the store rejects requests from some hosts while the operator revokes keys. A host
/// that continued to use its copy would run requests of a revoked key. The clock passed in must
/// include time during which the process was suspended.
class AuthorityLease {
 public:
  /// `validity` must be shorter than the time within which a revoked key must stop working, because
  /// a request takes further time from the check to the runner.
  explicit AuthorityLease(Duration validity) : validity_(validity) {}

  void SetValidity(Duration validity) { validity_ = validity; }

  /// Records that the local desired state was the newest one at `as_of`.
  void Confirm(TimePoint as_of) { confirmed_ = confirmed_ ? std::max(*confirmed_, as_of) : as_of; }

  bool Holds(TimePoint now) const { return confirmed_ && now - *confirmed_ < validity_; }

  /// Time since the last confirmation; nullopt before the first one.
  std::optional<Duration> Age(TimePoint now) const {
    if (!confirmed_) return std::nullopt;
    return now - *confirmed_;
  }

 private:
  Duration validity_;
  std::optional<TimePoint> confirmed_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_AUTHORITY_LEASE_H_
