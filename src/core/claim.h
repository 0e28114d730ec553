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

/// Recorded response of a plain service.
struct ClaimOutcome {
  int64_t status = 0;
  std::optional<std::string> body;  ///< Absent if the response was too large to store.
  std::string content_type;

  bool operator==(const ClaimOutcome&) const = default;
};

/// Marks a team's call with an idempotency key as dispatched, or about to be.
struct Claim {
  std::string digest;       ///< Digest of service, method, path, content type and body.
  std::string nonce;        ///< Identifies the proposal that wrote the claim.
  int64_t key_time_ms = 0;  ///< Unix time in the caller's key, or when the key was first seen.
  std::optional<ClaimOutcome> outcome;

  bool operator==(const Claim&) const = default;
};

/// Content of one platform object `claims/NNNN` (four hex digits).
struct ClaimShard {
  int64_t floor_ms = 0;  ///< Claims of keys before this time were removed; such keys are refused.
  std::map<std::string, Claim> claims;  ///< By claim id.

  bool operator==(const ClaimShard&) const = default;
};

std::string EncodeClaimShard(const ClaimShard& shard);
Result<ClaimShard> DecodeClaimShard(std::string_view text);

/// Limits of claims.
struct ClaimRules {
  int64_t lifetime_ms = 86'400'000;
  int64_t clock_error_ms = 5'000;     ///< Maximum accepted lead of a caller's clock.
  size_t max_response_bytes = 4'096;  ///< Longer response bodies are not stored.
  size_t max_shard_bytes = 900'000;   ///< Below the platform's limit of 1 MB.
  int max_conflicts = 16;  ///< Consecutive write conflicts; one more refuses the pending proposals.
};

/// A call's request for the claim on its key.
struct ClaimProposal {
  int64_t ticket = 0;  ///< Assigned by the user of the writer; returned with the verdict.
  std::string id;      ///< See `ClaimId`.
  std::string nonce;   ///< Random; unique per proposal.
  std::string digest;  ///< See `Claim::digest`; the same key with another digest is refused.
  int64_t key_time_ms = 0;
};

/// Result of a proposal: dispatch (neither member is set), replay or refuse.
struct ClaimVerdict {
  int64_t ticket = 0;
  std::optional<ClaimOutcome> replay;
  std::optional<Error> refusal;
};

/// Returns the Unix time in milliseconds of a UUID version 7, or nullopt for any other key.
std::optional<int64_t> IdempotencyKeyTime(std::string_view key);

/// Returns the first 128 bits of the SHA-256 digest of team and key, in hex.
std::string ClaimId(std::string_view team, std::string_view key);

/// Returns the name of the platform object that stores a claim: "claims/" and the first four hex
/// digits of its id, which gives 65,536 shards. The number is not configurable: after a change, a
/// key would be looked up in another shard than the one with its claim, and would run again.
std::string ClaimShardName(const std::string& claim_id);

/// Platform call to make next.
enum class ClaimStep { kNone, kRead, kWrite };

/// Outcome of a write to the platform.
enum class PlatformOutcome {
  kDone,
  kConflict,  ///< The object has another version; nothing changed.
  kNotDone,   ///< Nothing changed.
  kUnknown,   ///< The write may have taken effect, or may still do so.
};

/// State machine for one agent's access to one shard: batches proposals and outcomes into
/// conditional writes, at most one platform call at a time. Not thread-safe.
class ClaimWriter {
 public:
  explicit ClaimWriter(ClaimRules rules) : rules_(rules) {}

  void Propose(ClaimProposal proposal);
  /// Queues the outcome of a dispatched call.
  void RecordOutcome(const std::string& nonce, ClaimOutcome outcome);
  /// Removes the claim of a call that never reached the service.
  void Release(const std::string& nonce);

  /// Invalidates the cached shard, which another agent may have changed: the next step is a read.
  void Invalidate() { cached_ = false; }

  /// Decides proposals as far as the cached shard suffices and returns the next call. After kWrite,
  /// the caller writes `body()` on condition that the object has `version()` (0: it is absent).
  ClaimStep Next(int64_t unix_ms);
  const std::string& body() const { return body_; }
  int64_t version() const { return version_; }

  /// For an absent object, `version` is 0 and `text` is empty.
  void ReadDone(int64_t version, std::string_view text);
  void ReadFailed();
  void WriteEnded(PlatformOutcome outcome, int64_t new_version);

  std::vector<ClaimVerdict> TakeVerdicts();

 private:
  void Refuse(const ClaimProposal& proposal, ErrorCode code, RunState state, std::string message);
  bool DecideFromShard(const ClaimProposal& proposal, const ClaimShard& shard, int64_t unix_ms);
  void GrantWrittenClaims();
  void RefuseAll(ErrorCode code, const std::string& message);
  void ApplyQueued(ClaimShard& shard, int64_t unix_ms) const;

  ClaimRules rules_;
  std::vector<ClaimProposal> pending_;
  std::set<std::string> in_flight_;  ///< Nonces of proposals whose write may still take effect.
  std::map<std::string, ClaimOutcome> outcomes_;
  std::set<std::string> released_;
  std::vector<std::string> written_;  ///< Nonces of outcomes and releases in the current write.
  bool cached_ = false;               ///< Whether `shard_` is the content of `version_`.
  int64_t version_ = 0;
  ClaimShard shard_;
  ClaimShard next_;  ///< Content of the current write.
  std::string body_;
  int conflicts_ = 0;  ///< Consecutive.
  std::vector<ClaimVerdict> verdicts_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CLAIM_H_
