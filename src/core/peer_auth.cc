#include "core/peer_auth.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cstdlib>

namespace fuchsiaweir {
namespace {

constexpr size_t kMinSecretBytes = 32;  // The output length of SHA-256.
constexpr size_t kMaxKeys = 2;
// Covers clock differences between hosts; also limits how long a captured message can be replayed.
constexpr int64_t kMaxClockSkewMs = 30'000;

std::string ToHex(const unsigned char* bytes, size_t size) {
  std::string hex;
  for (size_t i = 0; i < size; ++i) absl::StrAppend(&hex, absl::Hex(bytes[i], absl::kZeroPad2));
  return hex;
}

std::optional<std::string> FromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  for (size_t i = 0; i < hex.size(); i += 2) {
    const size_t high = std::string_view("0123456789abcdef").find(hex[i]);
    const size_t low = std::string_view("0123456789abcdef").find(hex[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) return std::nullopt;
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

std::string ComputeMac(const PeerKey& key, const PeerMessage& message, int64_t unix_ms) {
  unsigned char body_digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(message.body.data()), message.body.size(),
         body_digest);
  // The lengths make the text unambiguous: different messages never give the same text.
  const std::string text = absl::StrCat(unix_ms, " ", ToHex(body_digest, sizeof(body_digest)), " ",
                                        message.method.size(), " ", message.path.size(), " ",
                                        message.method, message.path, message.sender);
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac, &size);
  return ToHex(mac, size);
}

Error Unauthorized(const std::string& message) {
  return {ErrorCode::kUnauthorized, RunState::kNotRun, message, Duration(0)};
}

std::vector<std::string> Words(std::string_view line) {
  return absl::StrSplit(absl::string_view(line.data(), line.size()), absl::ByAnyChar(" \t\r"),
                        absl::SkipEmpty());
}

}  // namespace

std::optional<std::vector<PeerKey>> ParsePeerKeys(std::string_view text, const std::string& file,
                                                  Findings& findings) {
  std::vector<PeerKey> keys;
  bool valid = true;
  // Findings must not contain key material.
  const auto report = [&](int line, const std::string& message) {
    findings.Add(file, line, message);
    valid = false;
  };
  int line_number = 0;
  for (const auto line : absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
    ++line_number;
    const std::vector<std::string> words = Words({line.data(), line.size()});
    if (words.empty()) continue;
    const std::optional<std::string> secret = words.size() == 2 ? FromHex(words[1]) : std::nullopt;
    if (!secret) {
      report(line_number, "a line must be \"ID HEX-KEY\" with lower-case digits");
      continue;
    }
    if (secret->size() < kMinSecretBytes) {
      report(line_number, absl::StrCat("the key has ", secret->size(), " bytes; at least ",
                                       kMinSecretBytes, " are required"));
    }
    if (std::any_of(keys.begin(), keys.end(),
                    [&](const PeerKey& key) { return key.id == words[0]; })) {
      report(line_number, absl::StrCat("the key id \"", words[0], "\" occurs twice"));
    }
    keys.push_back({words[0], *secret});
  }
  if (keys.size() > kMaxKeys)
    report(0,
           absl::StrCat("the file has ", keys.size(), " keys; at most ", kMaxKeys, " are allowed"));
  if (keys.empty()) report(0, "the file has no key");
  if (!valid) return std::nullopt;
  return keys;
}

std::string SignPeerMessage(const PeerKey& key, const PeerMessage& message, int64_t unix_ms) {
  return absl::StrCat(key.id, " ", unix_ms, " ", ComputeMac(key, message, unix_ms));
}

Result<void> VerifyPeerMessage(const std::vector<PeerKey>& keys, const PeerMessage& message,
                               std::string_view proof, int64_t unix_ms) {
  const std::vector<std::string> words = Words(proof);
  int64_t signed_ms = 0;
  if (words.size() != 3 || !absl::SimpleAtoi(words[1], &signed_ms)) {
    return Unauthorized("malformed proof; expected \"KEY-ID UNIX-MS HMAC-HEX\"");
  }
  if (signed_ms < unix_ms - kMaxClockSkewMs || signed_ms > unix_ms + kMaxClockSkewMs) {
    return Unauthorized(absl::StrCat("the proof's timestamp ", signed_ms, " is more than ",
                                     kMaxClockSkewMs, " ms from ", unix_ms));
  }
  const auto key =
      std::find_if(keys.begin(), keys.end(), [&](const PeerKey& k) { return k.id == words[0]; });
  if (key == keys.end()) return Unauthorized("unknown key id");
  const std::string expected = ComputeMac(*key, message, signed_ms);
  if (words[2].size() != expected.size() ||
      CRYPTO_memcmp(words[2].data(), expected.data(), expected.size()) != 0) {
    return Unauthorized("the proof does not match the message");
  }
  return boost::outcome_v2::success();
}

}  // namespace fuchsiaweir
