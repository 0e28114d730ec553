#include "core/claim.h"

#include <absl/strings/str_cat.h>
#include <openssl/sha.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/http_status.h"
#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

// At 4 KB per outcome, limits a shard's memory during a platform outage to 1 MB.
constexpr size_t kMaxQueuedOutcomes = 256;

// A claim takes about 170 bytes, or 450 with its response. With 65,536 shards of at most 900 kB,
// the claims of 24 h fit at an average of 1,500 calls/s with responses, half of the peak load at
// the design size. At 70 calls/s a shard has about 41 kB, which limits the cost of a write.
constexpr size_t kShardDigits = 4;

json::object EncodeClaim(const Claim& claim) {
  json::object object{{"d", claim.digest}, {"n", claim.nonce}, {"t", claim.key_time_ms}};
  if (claim.outcome) {
    object["s"] = claim.outcome->status;
    if (claim.outcome->body) object["b"] = *claim.outcome->body;
    if (!claim.outcome->content_type.empty()) object["c"] = claim.outcome->content_type;
  }
  return object;
}

Claim DecodeClaim(const json::object& object) {
  Claim claim;
  claim.digest = std::string(object.at("d").as_string());
  claim.nonce = std::string(object.at("n").as_string());
  claim.key_time_ms = object.at("t").to_number<int64_t>();
  const json::value* const recorded = object.if_contains("s");
  const int64_t status = recorded == nullptr ? 0 : recorded->to_number<int64_t>();
  // An agent of an earlier version recorded any status of a service. The call may have run, so its
  // claim stays, and its key is refused.
  if (IsFinalHttpStatus(status)) {
    claim.outcome.emplace();
    claim.outcome->status = status;
    if (const json::value* body = object.if_contains("b")) {
      claim.outcome->body = std::string(body->as_string());
    }
    if (const json::value* type = object.if_contains("c")) {
      claim.outcome->content_type = std::string(type->as_string());
    }
  }
  return claim;
}

// Encodes the shard within the size limit. If it is too large, drops the stored response bodies: a
// claim without its response still prevents a second execution.
bool EncodeWithinLimit(ClaimShard& shard, size_t limit, std::string& text) {
  text = EncodeClaimShard(shard);
  if (text.size() <= limit) return true;
  for (auto& [id, claim] : shard.claims) {
    if (claim.outcome) claim.outcome->body.reset();
  }
  text = EncodeClaimShard(shard);
  return text.size() <= limit;
}

}  // namespace

std::string EncodeClaimShard(const ClaimShard& shard) {
  json::object claims;
  for (const auto& [id, claim] : shard.claims) claims[id] = EncodeClaim(claim);
  return json::serialize(json::object{{"floor_ms", shard.floor_ms}, {"claims", std::move(claims)}});
}

Result<ClaimShard> DecodeClaimShard(std::string_view text) {
  try {
    json::parse_options options;
    options.allow_invalid_utf8 = true;  // Response bodies of services are arbitrary bytes.
    const json::value value = json::parse(json::string_view(text.data(), text.size()), {}, options);
    ClaimShard shard;
    shard.floor_ms = value.as_object().at("floor_ms").to_number<int64_t>();
    for (const auto& [id, claim] : value.as_object().at("claims").as_object()) {
      shard.claims[std::string(id)] = DecodeClaim(claim.as_object());
    }
    return shard;
  } catch (const std::exception& e) {
    return Error{ErrorCode::kInternal, RunState::kNotRun,
                 std::string("malformed claim shard: ") + DecodeErrorMessage(e)};
  }
}

std::optional<int64_t> IdempotencyKeyTime(std::string_view key) {
  if (key.size() != 36) return std::nullopt;
  int64_t time = 0;
  for (size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const size_t digit = std::string_view("0123456789abcdef").find(key[i]);
    if (dash != (key[i] == '-') || (!dash && digit == std::string_view::npos)) return std::nullopt;
    if (!dash && i < 13) time = time * 16 + static_cast<int64_t>(digit);
  }
  if (key[14] != '7') return std::nullopt;
  return time;
}

std::string ClaimId(std::string_view team, std::string_view key) {
  const std::string text = std::string(team) + '\0' + std::string(key);
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  std::string id;
  for (int i = 0; i < 16; ++i) absl::StrAppend(&id, absl::Hex(digest[i], absl::kZeroPad2));
  return id;
}

std::string ClaimShardName(const std::string& claim_id) {
  return "claims/" + claim_id.substr(0, kShardDigits);
}

void ClaimWriter::Propose(ClaimProposal proposal) { pending_.push_back(std::move(proposal)); }

void ClaimWriter::RecordOutcome(const std::string& nonce, ClaimOutcome outcome) {
  if (outcome.body && outcome.body->size() > rules_.max_response_bytes) outcome.body.reset();
  // A dropped outcome is safe: retries of its call are refused with run state unknown.
  if (outcomes_.size() < kMaxQueuedOutcomes) outcomes_[nonce] = std::move(outcome);
}

void ClaimWriter::Release(const std::string& nonce) { released_.insert(nonce); }

void ClaimWriter::Refuse(const ClaimProposal& proposal, ErrorCode code, RunState state,
                         std::string message) {
  // The write with this nonce may still take effect; the next write then removes its claim.
  if (in_flight_.erase(proposal.nonce) > 0) released_.insert(proposal.nonce);
  verdicts_.push_back({proposal.ticket, std::nullopt, Error{code, state, std::move(message)}});
}

bool ClaimWriter::DecideFromShard(const ClaimProposal& proposal, const ClaimShard& shard,
                                  int64_t unix_ms) {
  const auto found = shard.claims.find(proposal.id);
  if (found != shard.claims.end()) {
    const Claim& claim = found->second;
    if (claim.digest != proposal.digest) {
      Refuse(proposal, ErrorCode::kKeyReused, RunState::kNotRun,
             "the idempotency key was used with a different request body");
    } else if (claim.outcome) {
      verdicts_.push_back({proposal.ticket, claim.outcome, std::nullopt});
    } else {
      Refuse(proposal, ErrorCode::kInProgress, RunState::kUnknown,
             "a call with this idempotency key was dispatched and has no recorded outcome");
    }
    return true;
  }
  // The floor is stored in the shard so that an agent with a slow clock also refuses a key whose
  // claim was removed.
  if (proposal.key_time_ms < std::max(shard.floor_ms, unix_ms - rules_.lifetime_ms)) {
    Refuse(proposal, ErrorCode::kKeyExpired, RunState::kUnknown,
           absl::StrCat("the idempotency key is older than its lifetime of ", rules_.lifetime_ms,
                        " ms"));
    return true;
  }
  if (proposal.key_time_ms > unix_ms + rules_.clock_error_ms) {
    Refuse(proposal, ErrorCode::kBadRequest, RunState::kNotRun,
           absl::StrCat("the time in the idempotency key is ", proposal.key_time_ms - unix_ms,
                        " ms in the future"));
    return true;
  }
  return false;
}

void ClaimWriter::ApplyQueued(ClaimShard& shard, int64_t unix_ms) const {
  shard.floor_ms = std::max(shard.floor_ms, unix_ms - rules_.lifetime_ms - rules_.clock_error_ms);
  for (auto it = shard.claims.begin(); it != shard.claims.end();) {
    Claim& claim = it->second;
    const auto outcome = outcomes_.find(claim.nonce);
    if (outcome != outcomes_.end()) claim.outcome = outcome->second;
    const bool remove = claim.key_time_ms < shard.floor_ms || released_.contains(claim.nonce);
    it = remove ? shard.claims.erase(it) : std::next(it);
  }
}

ClaimStep ClaimWriter::Next(int64_t unix_ms) {
  if (pending_.empty() && outcomes_.empty() && released_.empty()) return ClaimStep::kNone;
  if (!cached_) return ClaimStep::kRead;
  next_ = shard_;
  ApplyQueued(next_, unix_ms);
  std::vector<ClaimProposal> undecided;
  for (ClaimProposal& proposal : pending_) {
    if (DecideFromShard(proposal, next_, unix_ms)) continue;
    next_.claims[proposal.id] = {proposal.digest, proposal.nonce, proposal.key_time_ms, {}};
    undecided.push_back(std::move(proposal));
  }
  pending_ = std::move(undecided);
  if (!EncodeWithinLimit(next_, rules_.max_shard_bytes, body_)) {
    RefuseAll(ErrorCode::kOverloaded, absl::StrCat("the claim shard is at its limit of ",
                                                   rules_.max_shard_bytes, " bytes"));
    next_ = shard_;
    ApplyQueued(next_, unix_ms);
    if (!EncodeWithinLimit(next_, rules_.max_shard_bytes, body_)) return ClaimStep::kNone;
  }
  if (pending_.empty() && outcomes_.empty() && released_.empty()) return ClaimStep::kNone;
  for (const ClaimProposal& proposal : pending_) in_flight_.insert(proposal.nonce);
  // Outcomes and releases that arrive during this write are part of the next one.
  written_.assign(released_.begin(), released_.end());
  for (const auto& [nonce, outcome] : outcomes_) written_.push_back(nonce);
  return ClaimStep::kWrite;
}

void ClaimWriter::GrantWrittenClaims() {
  std::vector<ClaimProposal> unwritten;
  for (ClaimProposal& proposal : pending_) {
    const auto found = shard_.claims.find(proposal.id);
    if (found == shard_.claims.end() || found->second.nonce != proposal.nonce) {
      unwritten.push_back(std::move(proposal));
      continue;
    }
    in_flight_.erase(proposal.nonce);
    verdicts_.push_back({proposal.ticket, std::nullopt, std::nullopt});
  }
  pending_ = std::move(unwritten);
}

void ClaimWriter::ReadDone(int64_t version, std::string_view text) {
  ClaimShard shard;
  if (version != 0) {
    Result<ClaimShard> decoded = DecodeClaimShard(text);
    if (!decoded) return RefuseAll(ErrorCode::kInternal, decoded.error().message);
    shard = std::move(decoded.value());
  }
  shard_ = std::move(shard);
  version_ = version;
  cached_ = true;
  GrantWrittenClaims();
}

void ClaimWriter::ReadFailed() {
  RefuseAll(ErrorCode::kPlatformUnavailable, "the object API is unavailable");
}

void ClaimWriter::WriteEnded(PlatformOutcome outcome, int64_t new_version) {
  if (outcome == PlatformOutcome::kDone) {
    shard_ = std::move(next_);
    version_ = new_version;
    conflicts_ = 0;
    // The version has advanced, so no earlier conditional write of this agent can take effect.
    for (const std::string& nonce : written_) {
      outcomes_.erase(nonce);
      released_.erase(nonce);
    }
    GrantWrittenClaims();
    return;
  }
  cached_ = false;
  if (outcome == PlatformOutcome::kNotDone) ReadFailed();
  if (outcome == PlatformOutcome::kConflict && ++conflicts_ > rules_.max_conflicts) {
    conflicts_ = 0;
    RefuseAll(ErrorCode::kOverloaded,
              absl::StrCat("the claim shard had more than ", rules_.max_conflicts,
                           " consecutive write conflicts"));
  }
}

void ClaimWriter::RefuseAll(ErrorCode code, const std::string& message) {
  for (const ClaimProposal& proposal : pending_) {
    Refuse(proposal, code, RunState::kNotRun, message);
  }
  pending_.clear();
}

std::vector<ClaimVerdict> ClaimWriter::TakeVerdicts() { return std::exchange(verdicts_, {}); }

}  // namespace fuchsiaweir
