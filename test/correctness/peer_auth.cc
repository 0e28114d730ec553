#include "core/peer_auth.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(PeerAuth){};

// Guards against accepting a message whose method, path, body, sender, timestamp or key was
// changed.
TEST(PeerAuth, OnlyTheSignedMessageIsAccepted) {
  CheckProperty("a changed message is rejected", [](const std::string& body) {
    const std::vector<PeerKey> keys = {{"new", std::string(32, 'n')},
                                       {"old", std::string(32, 'o')}};
    const PeerMessage message{"POST", "/internal/v1/runs", body, "h1"};
    const std::string proof = SignPeerMessage(keys[1], message, 1'000'000);
    RC_ASSERT(VerifyPeerMessage(keys, message, proof, 1'029'000).has_value());
    RC_ASSERT(VerifyPeerMessage(keys, message, proof, 1'031'000).has_error());
    RC_ASSERT(VerifyPeerMessage(keys, message, proof, 969'000).has_error());
    RC_ASSERT(VerifyPeerMessage({keys[0]}, message, proof, 1'000'000).has_error());
    RC_ASSERT(VerifyPeerMessage({{"old", keys[0].secret}}, message, proof, 1'000'000).has_error());
    for (std::string PeerMessage::*part :
         {&PeerMessage::method, &PeerMessage::path, &PeerMessage::body, &PeerMessage::sender}) {
      PeerMessage changed = message;
      changed.*part += "x";
      RC_ASSERT(VerifyPeerMessage(keys, changed, proof, 1'000'000).has_error());
    }
    RC_ASSERT(VerifyPeerMessage(keys, message, body, 1'000'000).has_error());
  });
}

// Guards against accepting only part of a key file, and against findings that contain a secret.
TEST(PeerAuth, KeyFileFindingsIncludeLineNumbers) {
  Findings findings;
  const std::string secret(64, 'a');
  CHECK_EQUAL(2U,
              ParsePeerKeys("k2 " + secret + "\nk1 " + secret + "\n", "keys", findings)->size());
  CHECK_FALSE(ParsePeerKeys("k1 " + secret + "\nk1 abcd\n?\n", "keys", findings).has_value());
  STRCMP_EQUAL(
      "keys:2: the key has 2 bytes; at least 32 are required\n"
      "keys:2: the key id \"k1\" occurs twice\n"
      "keys:3: a line must be \"ID HEX-KEY\" with lower-case digits\n",
      findings.ToString().c_str());
}

}  // namespace fuchsiaweir
