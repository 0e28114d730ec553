// Tests of a gateway whose callers send large bodies at the same time.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace asio = boost::asio;

/// Memory of the smallest host that runs a gateway.
constexpr int64_t kHostMemoryMb = 96;
constexpr int64_t kMaxBodyBytes = 4'194'304;
constexpr size_t kUploadBytes = 4'000'000;
constexpr int64_t kReadTimeoutMs = 8'000;
constexpr int kPieces = 15;
constexpr int kSmallCallers = 4;
constexpr int64_t kSmallIntervalMs = 20;
/// Half of a Retry-After's longest value, in which a caller would leave.
constexpr Duration kMaxSmallTime = Seconds(1);

struct Outcome {
  bool served = false;
  bool promised = false;  ///< Refused as not run, with a Retry-After.
};

/// Sends a body in pieces over `duration_ms`, whether the gateway reads it or not, and reads the
/// answer until the connection closes.
Outcome Upload(int port, const std::string& id, int64_t duration_ms, bool chunked) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)});
  const std::string piece(kUploadBytes / kPieces, 'n');
  const std::string framing = chunked ? "Transfer-Encoding: chunked"
                                      : absl::StrCat("Content-Length: ", piece.size() * kPieces);
  const std::string header =
      absl::StrCat("POST /unsafe/ HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\n",
                   platform::kRequestIdHeader, ": ", id, "\r\n", platform::kTimeLeftHeader,
                   ": 9000\r\n", platform::kApiKeyHeader, ": key-1\r\n", framing, "\r\n\r\n");
  boost::system::error_code failure;
  asio::write(socket, asio::buffer(header), failure);
  for (int i = 0; i < kPieces && !failure; ++i) {
    const std::string chunk =
        chunked ? absl::StrCat(absl::Hex(piece.size()), "\r\n", piece, "\r\n") : piece;
    asio::write(socket, asio::buffer(chunk), failure);
    SleepMillis(duration_ms / kPieces);
  }
  const std::string end = chunked ? "0\r\n\r\n" : "";
  if (!failure) asio::write(socket, asio::buffer(end), failure);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), failure);
  return {absl::StartsWith(answer, "HTTP/1.1 200"),
          absl::StartsWith(answer, "HTTP/1.1 503") && absl::StrContains(answer, "Retry-After: ") &&
              absl::StrContains(answer, absl::StrCat(": ", id, "\r\n"))};
}

}  // namespace

TEST_GROUP(UploadMemory) {
  Fleet fleet{1, 2};
  std::atomic<int> served = 0;
  std::atomic<int> promised = 0;

  void StartFleet() {
    fleet.SetRequestLimits(kMaxBodyBytes, kReadTimeoutMs);
    fleet.Start();
    for (const char* runner : {"runner0", "runner1"}) {
      fleet.InjectFault(runner, R"({"short_answer": true})");
    }
  }

  /// Sends uploads at the same time beside small requests, and checks that each is answered.
  void PlayUploads(int uploads, int64_t duration_ms, bool chunked = false) {
    std::atomic<bool> ended = false;
    std::atomic<int> small_failed = 0;
    std::vector<std::jthread> small;
    for (int i = 0; i < kSmallCallers; ++i) {
      small.emplace_back([&]() {
        while (!ended) {
          const TimePoint start = SteadyNow();
          if (fleet.Call("/safe/", "x").status != 200) ++small_failed;
          if (SteadyNow() - start > kMaxSmallTime) ++small_failed;
          SleepMillis(kSmallIntervalMs);
        }
      });
    }
    std::vector<std::jthread> callers;
    for (int i = 0; i < uploads; ++i) {
      callers.emplace_back([&, i]() {
        const Outcome outcome =
            Upload(fleet.caller_port(0), absl::StrCat("upload-", i), duration_ms, chunked);
        served += outcome.served ? 1 : 0;
        promised += outcome.promised ? 1 : 0;
      });
    }
    callers.clear();
    ended = true;
    small.clear();
    const int64_t peak = fleet.PeakMemoryMb("gateway0");
    CHECK_TEXT(peak > 0 && peak < kHostMemoryMb, absl::StrCat(peak, " MB").c_str());
    LONGS_EQUAL(0, small_failed);
    LONGS_EQUAL_TEXT(uploads, served + promised, absl::StrCat(served.load(), " served").c_str());
    CHECK_TEXT(served > 0, "no upload was served");
  }
};

// Guards against a gateway that is killed because uploads, each within the limit, exceed the memory
// of its host together.
TEST(UploadMemory, UploadsAtOnceStayWithinTheMemory) {
  StartFleet();
  PlayUploads(24, 1'500);
  CHECK_EQUAL(24, served);
}

// Guards against slow uploads that fill the memory, and hold up all others until they time out.
TEST(UploadMemory, SlowUploadsStayWithinTheMemory) {
  StartFleet();
  PlayUploads(200, 4'500);
  CHECK(absl::StrContains(fleet.Log("gateway0"), "upload_refused"));
  const std::string metrics = Send("GET", fleet.metrics_port(0), "/metrics").body;
  CHECK(absl::StrContains(metrics, "fuchsiaweir_uploads_refused"));
  // All memory is free again.
  CHECK(Eventually([&]() {
    return absl::StrContains(Send("GET", fleet.metrics_port(0), "/metrics").body,
                             "fuchsiaweir_body_bytes_held 0\n");
  }));
}

// Guards against bodies without an announced length, which begin like small ones.
TEST(UploadMemory, UploadsOfUnknownLengthStayWithinTheMemory) {
  StartFleet();
  PlayUploads(60, 1'500, /*chunked=*/true);
}

}  // namespace fuchsiaweir::testing
