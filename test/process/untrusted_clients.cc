// Tests of a gateway whose callers try to fill its memory.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace asio = boost::asio;

/// Four fifths of the memory and of the descriptors of the smallest gateway.
constexpr int64_t kMaxMemoryMb = 96 * 4 / 5;
constexpr int64_t kMaxDescriptors = 1'024 * 4 / 5;
constexpr int64_t kMaxBodyBytes = 4'194'304;
constexpr int64_t kReadTimeoutMs = 3'000;
constexpr size_t kLargeBytes = 4'000'000;
constexpr size_t kSmallBytes = 65'000;
constexpr size_t kAllBytes = 65'536;  ///< As fast as one client can send or read.
constexpr Duration kPlayTime = Seconds(5);
constexpr int64_t kTurnMs = 20;

std::string Chunks(size_t count, size_t bytes, const std::string& extension = "") {
  const std::string chunk =
      absl::StrCat(absl::Hex(bytes), extension, "\r\n", std::string(bytes, 'n'), "\r\n");
  std::string chunks;
  for (size_t i = 0; i < count; ++i) chunks += chunk;
  return chunks;
}

std::string Whole(size_t bytes) {
  return absl::StrCat("Content-Length: ", bytes, "\r\n\r\n", std::string(bytes, 'n'));
}

std::string Chunked(const std::string& chunks) {
  return "Transfer-Encoding: chunked\r\n\r\n" + chunks;
}

std::string Head(const std::string& id) {
  return absl::StrCat("POST /unsafe/ HTTP/1.1\r\nHost: fleet.example\r\n",
                      platform::kRequestIdHeader, ": ", id, "\r\n", platform::kTimeLeftHeader,
                      ": 9000\r\n", platform::kApiKeyHeader, ": key-1\r\n");
}

std::string LargeBody() { return Whole(kLargeBytes); }
std::string SmallBody() { return Whole(kSmallBytes); }
std::string UnfinishedBody() {
  std::string body = LargeBody();
  body.pop_back();
  return body;
}
std::string LargeChunks() { return Chunked(Chunks(16, 250'000)); }
std::string SmallChunks() { return Chunked(Chunks(24'000, 64)); }
std::string ExtendedChunks() {
  return Chunked(Chunks(100, 64, ";name=" + std::string(30'000, 'x')));
}
std::string EndlessExtension() { return Chunked("40;name=" + std::string(250'000, 'x')); }
std::string EndlessTrailer() {
  return Chunked("1\r\nn\r\n0\r\nX-Tail: " + std::string(250'000, 'x'));
}
std::string AnnouncedOver() {
  return "Content-Length: 400000000\r\n\r\n" + std::string(kLargeBytes, 'n');
}
std::string SentOver() { return Chunked(Chunks(64, 250'000)); }
std::string Pipelined() {
  std::string requests = SmallBody();
  for (int i = 0; i < 60; ++i) requests += Head(absl::StrCat("next-", i)) + SmallBody();
  return requests;
}
std::string EndlessHead() { return "X-Head: " + std::string(16'000, 'x'); }

/// Clients that do the same. The connection stays open after the last byte.
struct ClientLoad {
  int clients;
  std::string (*rest)();  ///< Bytes that follow the first fields of the head.
  size_t write_bytes;     ///< In each turn.
  size_t read_bytes;      ///< In each turn; 0: the client does not read.
};

struct Row {
  const char* name;
  std::vector<ClientLoad> loads;
};

const std::vector<Row>& Rows() {
  static const std::vector<Row> kRows{
      {"whole", {{40, LargeBody, kAllBytes, kAllBytes}}},
      {"piece by piece", {{40, LargeBody, 30'000, kAllBytes}}},
      {"unfinished", {{60, UnfinishedBody, kAllBytes, kAllBytes}}},
      {"large chunks", {{60, LargeChunks, kAllBytes, kAllBytes}}},
      {"small chunks", {{60, SmallChunks, kAllBytes, kAllBytes}}},
      {"chunk extensions",
       {{200, EndlessExtension, kAllBytes, kAllBytes}, {20, ExtendedChunks, kAllBytes, kAllBytes}}},
      {"trailers", {{250, EndlessTrailer, kAllBytes, kAllBytes}}},
      {"announced over the limit", {{100, AnnouncedOver, kAllBytes, kAllBytes}}},
      {"sent over the limit", {{60, SentOver, kAllBytes, kAllBytes}}},
      {"pipelined", {{60, Pipelined, kAllBytes, 0}}},
      {"heads without end", {{300, EndlessHead, kAllBytes, kAllBytes}}},
      {"slow readers", {{40, LargeBody, kAllBytes, 1'000}}},
      {"absent readers", {{40, LargeBody, kAllBytes, 0}}},
      {"returned bodies",
       {{24, LargeBody, kAllBytes, kAllBytes}, {300, SmallBody, kAllBytes, kAllBytes}}},
      {"all at once",
       {{20, LargeBody, kAllBytes, kAllBytes},
        {20, UnfinishedBody, kAllBytes, kAllBytes},
        {20, LargeChunks, kAllBytes, kAllBytes},
        {20, SmallChunks, kAllBytes, kAllBytes},
        {40, EndlessExtension, kAllBytes, kAllBytes},
        {40, EndlessTrailer, kAllBytes, kAllBytes},
        {20, AnnouncedOver, kAllBytes, kAllBytes},
        {20, SentOver, kAllBytes, kAllBytes},
        {20, Pipelined, kAllBytes, 0},
        {40, EndlessHead, kAllBytes, kAllBytes},
        {20, LargeBody, kAllBytes, 1'000},
        {20, LargeBody, kAllBytes, 0}}}};
  return kRows;
}

/// One connection, which is opened again when the gateway closes it.
class Client {
 public:
  Client(asio::io_context& io, int port, const ClientLoad& load,
         std::shared_ptr<const std::string> rest)
      : socket_(io), port_(port), load_(load), rest_(std::move(rest)) {}

  void PlayTurn() {
    boost::system::error_code failure;
    if (!socket_.is_open()) Open(failure);
    if (!failure) Write(failure);
    if (!failure) Read(failure);
    if (failure && failure != asio::error::would_block) socket_.close(failure);
  }

 private:
  void Open(boost::system::error_code& failure) {
    static int64_t requests = 0;
    head_ = Head(absl::StrCat("untrusted-", ++requests));
    sent_ = 0;
    socket_.connect({asio::ip::address_v4::loopback(), static_cast<uint16_t>(port_)}, failure);
    if (!failure) socket_.non_blocking(true, failure);
  }

  void Write(boost::system::error_code& failure) {
    const std::string& part = sent_ < head_.size() ? head_ : *rest_;
    const size_t offset = sent_ < head_.size() ? sent_ : sent_ - head_.size();
    const size_t bytes = std::min(load_.write_bytes, part.size() - offset);
    if (bytes == 0) return;
    sent_ += socket_.write_some(asio::buffer(part.data() + offset, bytes), failure);
    if (failure == asio::error::would_block) failure = {};
  }

  void Read(boost::system::error_code& failure) {
    if (load_.read_bytes == 0) return;
    std::string discarded(load_.read_bytes, '\0');
    socket_.read_some(asio::buffer(discarded), failure);
  }

  asio::ip::tcp::socket socket_;
  int port_;
  const ClientLoad& load_;
  std::shared_ptr<const std::string> rest_;
  std::string head_;
  size_t sent_ = 0;
};

int64_t OpenDescriptors(pid_t process) {
  std::error_code failure;
  const std::filesystem::directory_iterator files(absl::StrCat("/proc/", process, "/fd"), failure);
  return failure ? 0 : std::distance(begin(files), end(files));
}

/// Plays the row against a gateway. Returns what it does not keep to; empty if nothing.
std::string Play(const Row& row) {
  Fleet fleet{1, 2};
  fleet.SetRequestLimits(kMaxBodyBytes, kReadTimeoutMs);
  fleet.Start();
  int64_t descriptors = 0;
  {
    asio::io_context io;
    std::vector<Client> clients;
    for (const ClientLoad& load : row.loads) {
      const auto rest = std::make_shared<const std::string>(load.rest());
      for (int i = 0; i < load.clients; ++i) {
        clients.emplace_back(io, fleet.caller_port(0), load, rest);
      }
    }
    for (const TimePoint end = SteadyNow() + kPlayTime; SteadyNow() < end; SleepMillis(kTurnMs)) {
      for (Client& client : clients) client.PlayTurn();
      descriptors = std::max(descriptors, OpenDescriptors(fleet.pid("gateway0")));
    }
  }
  const bool answered = Eventually([&]() { return fleet.Call("/safe/", "x").status == 200; });
  const int64_t peak = fleet.PeakMemoryMb("gateway0");
  std::string faults;
  if (fleet.TryWait("gateway0")) absl::StrAppend(&faults, " ended");
  if (!answered) absl::StrAppend(&faults, " no answer afterwards");
  if (peak == 0 || peak > kMaxMemoryMb) absl::StrAppend(&faults, " memory");
  if (descriptors > kMaxDescriptors) absl::StrAppend(&faults, " descriptors");
  const std::string figures = absl::StrCat(row.name, ": ", peak, " MB, ", descriptors, " files");
  printf("%s%s\n", figures.c_str(), faults.c_str());
  return faults.empty() ? "" : absl::StrCat(figures, ",", faults, "; ");
}

}  // namespace

TEST_GROUP(UntrustedClients){};

// Guards against a gateway that is killed because clients fill its memory, each within the limits
// or beyond them.
TEST(UntrustedClients, MemoryStaysBounded) {
  std::string faults;
  for (const Row& row : Rows()) faults += Play(row);
  CHECK_TEXT(faults.empty(), faults.c_str());
}

}  // namespace fuchsiaweir::testing
