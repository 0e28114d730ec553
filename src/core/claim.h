#ifndef FUCHSIAWEIR_CORE_CLAIM_H_
#define FUCHSIAWEIR_CORE_CLAIM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// Recorded answer of a plain service.
struct ClaimOutcome {
  int64_t status = 0;
  std::optional<std::string> body;  ///< Nothing when the answer was too large to keep.
  std::string content_type;

  bool operator==(const ClaimOutcome&) const = default;
};

/// One idempotency key of one team that was, or is about to be, dispatched.
struct Claim {
  std::string digest;       ///< Digest of the request body.
  std::string nonce;        ///< Names the proposal that wrote the claim.
  int64_t key_time_ms = 0;  ///< Unix time in the caller's key, or of its first sight.
  std::optional<ClaimOutcome> outcome;

  bool operator==(const Claim&) const = default;
};

/// Content of one platform object `claims/NNNN`.
struct ClaimShard {
  int64_t floor_ms = 0;  ///< Claims of older keys were removed; such keys are refused.
  std::map<std::string, Claim> claims;  ///< By claim id.

  bool operator==(const ClaimShard&) const = default;
};

std::string EncodeClaimShard(const ClaimShard& shard);
Result<ClaimShard> DecodeClaimShard(std::string_view text);

/// Bounds of claims.
struct ClaimRules {
  int64_t lifetime_ms = 86'400'000;
  int64_t clock_error_ms = 5'000;    ///< Accepted lead of a caller's clock.
  size_t max_answer_bytes = 4'096;   ///< Longer answers are not kept.
  size_t max_shard_bytes = 900'000;  ///< Below the platform's limit of 1 MB.
  int max_conflicts = 16;            ///< Lost races in a row before a proposal is refused.
};

/// A call that asks for its claim.
struct ClaimProposal {
  int64_t ticket = 0;  ///< Chosen by the caller of the writer; returned with the verdict.
  std::string id;      ///< See `ClaimId`.
  std::string nonce;   ///< Random, never reused.
  std::string digest;
  int64_t key_time_ms = 0;
};

/// Answer to a proposal: dispatch (no outcome, no error), replay or refuse.
struct ClaimVerdict {
  int64_t ticket = 0;
  std::optional<ClaimOutcome> replay;
  std::optional<Error> refusal;
};

/// Returns the Unix time in milliseconds of a UUID version 7, or nothing for another key.
std::optional<int64_t> IdempotencyKeyTime(std::string_view key);

/// 128 bits of SHA-256 over team and key, in hex.
std::string ClaimId(std::string_view team, std::string_view key);

/// Name of the platform object that holds a claim: "claims/" and 4 hex digits, so that the number
/// of shards is 65,536. It is no setting, since a key claimed under another number would run again.
std::string ClaimShardName(const std::string& claim_id);

/// Next call to the platform.
enum class ClaimStep { kNone, kRead, kWrite };

/// How a call to the platform ended.
enum class PlatformOutcome {
  kDone,
  kConflict,  ///< The version differs; nothing changed.
  kNotDone,   ///< Nothing changed.
  kUnknown,   ///< The change may have taken effect, or may still do so.
};

/// One agent's access to one shard: batches proposals and outcomes into conditional writes.
/// At most one platform call is in flight. Not thread-safe.
class ClaimWriter {
 public:
  explicit ClaimWriter(ClaimRules rules) : rules_(rules) {}

  void Propose(ClaimProposal proposal);
  /// Queues the outcome of a dispatched call.
  void RecordOutcome(const std::string& nonce, ClaimOutcome outcome);
  /// Gives a claim back whose call never reached the service.
  void Release(const std::string& nonce);

  /// Makes the next step read the object, which another agent may have changed.
  void Invalidate() { known_ = false; }

  /// Decides what can be decided from the known content and returns the next call. After kWrite,
  /// `body()` is to be written if the object has `version()`; version 0 means that it is absent.
  ClaimStep Next(int64_t unix_ms);
  const std::string& body() const { return body_; }
  int64_t version() const { return version_; }

  /// `text` is empty for an absent object, whose version is 0.
  void ReadDone(int64_t version, std::string_view text);
  void ReadFailed();
  void WriteEnded(PlatformOutcome outcome, int64_t new_version);

  std::vector<ClaimVerdict> TakeVerdicts();

 private:
  void Refuse(const ClaimProposal& proposal, ErrorCode code, RunState state, std::string message);
  bool DecideFromShard(const ClaimProposal& proposal, const ClaimShard& shard, int64_t unix_ms);
  void SettleInFlight();
  void RefuseAll(ErrorCode code, const std::string& message);
  void ApplyQueued(ClaimShard& shard, int64_t unix_ms) const;

  ClaimRules rules_;
  std::vector<ClaimProposal> pending_;
  std::set<std::string> in_flight_;  ///< Nonces in writes whose result is not settled.
  std::map<std::string, ClaimOutcome> outcomes_;
  std::set<std::string> released_;
  std::vector<std::string> written_;  ///< Outcomes and releases in the current write.
  bool known_ = false;
  int64_t version_ = 0;
  ClaimShard shard_;
  ClaimShard next_;
  std::string body_;
  int conflicts_ = 0;
  std::vector<ClaimVerdict> verdicts_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CLAIM_H_
