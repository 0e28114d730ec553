// Tests of the messages between entry and agent.

#include "core/run_message.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace fuchsiaweir {

TEST_GROUP(RunMessages){};

// Guards against a status that is not one of HTTP, or that a cast shortens to one, in an answer
// that a peer passes on.
TEST(RunMessages, AnInvalidStatusIsMalformed) {
  for (const int64_t status : {0, 100, 199, 600, 65'736}) {
    const Result<ServiceResponse> decoded =
        DecodeServiceResponse(EncodeServiceResponse({status, "text/plain", "whole", false}));
    CHECK(decoded.has_error());
    STRCMP_CONTAINS(std::to_string(status).c_str(), decoded.error().message.c_str());
  }
  for (const int64_t status : {200, 304, 599}) {
    const Result<ServiceResponse> decoded =
        DecodeServiceResponse(EncodeServiceResponse({status, "text/plain", "whole", false}));
    CHECK(decoded.has_value());
    LONGS_EQUAL(status, decoded.value().status);
  }
}

}  // namespace fuchsiaweir
