#include "soak/caller.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <memory>
#include <optional>
#include <random>

#include "platform/names.h"

namespace fuchsiaweir::soak {
namespace {

namespace http = boost::beast::http;

constexpr Route kRoutes[] = {{"safe", true, false},
                             {"unsafe", false, false},
                             {"stream", true, true},
                             {"single", false, true}};
constexpr Duration kConnectLimit = Seconds(1);
/// Callers wait this much longer than their time limit, so that a late answer is seen.
constexpr Duration kExtraWait = Millis(1'500);
constexpr Duration kLongestPause = Millis(50);
/// Four fifths of the fleet's limit for idle connections.
constexpr Duration kLongestIdleTime = Seconds(12);
constexpr Duration kLongestUploadPause = Seconds(1);
constexpr Duration kStopPollInterval = Millis(100);
constexpr Duration kLongestRetryAfter = Millis(300);
constexpr int kMaxEvents = 80;
constexpr int64_t kMaxSlowWorkMs = 2'500;
constexpr size_t kSmallBodyBytes = 2'000;
constexpr size_t kMediumBodyBytes = 100'000;
constexpr size_t kLargeBodyBytes = 512'000;
constexpr int kSharedParts = 8;
/// Few requests use what the newest desired state has added, because one that is refused for it
/// checks nothing else.
constexpr int64_t kRequestsPerAddition = 4;

/// A blocking connection whose operations have a time limit.
class Connection {
 public:
  explicit Connection(int port) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    int failure = 0;
    if (connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      failure = errno;
    }
    if (failure == EINPROGRESS && Wait(POLLOUT, SteadyNow() + kConnectLimit)) {
      socklen_t size = sizeof(failure);
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    open_ = failure == 0;
  }
  ~Connection() { close(descriptor_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool open() const { return open_; }

  /// Returns an empty text, or why not all was written.
  std::string WriteAll(std::string_view data, TimePoint limit) {
    while (!data.empty()) {
      const ssize_t count = send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL);
      if (count >= 0) {
        data.remove_prefix(static_cast<size_t>(count));
      } else if (errno != EAGAIN) {
        return std::strerror(errno);
      } else if (!Wait(POLLOUT, limit)) {
        return "time limit";
      }
    }
    return "";
  }

  /// Appends what arrives. Returns an empty text, or why nothing arrived.
  std::string ReadSome(std::string& data, TimePoint limit) {
    char piece[65'536];
    while (true) {
      const ssize_t count = recv(descriptor_, piece, sizeof(piece), 0);
      if (count > 0) {
        data.append(piece, static_cast<size_t>(count));
        return "";
      }
      if (count == 0) return "closed";
      if (errno != EAGAIN) return std::strerror(errno);
      if (!Wait(POLLIN, limit)) return "time limit";
    }
  }

 private:
  bool Wait(short events, TimePoint limit) const {
    pollfd entry{descriptor_, events, 0};
    const int64_t left_ms = ToMillis(limit - SteadyNow()) + 1;
    return left_ms > 0 && poll(&entry, 1, static_cast<int>(left_ms)) > 0;
  }

  int descriptor_;
  bool open_;
};

/// Compares a complete response with what the runner sends.
std::string FindWrong(const http::response<http::string_body>& response, const Attempt& attempt,
                      const std::string& body, int events) {
  if (response.result_int() / 100 != 2) return "";
  if (response[platform::kReceiptHeader].empty()) return "a success without a receipt";
  if (response[platform::kRequestIdHeader] != attempt.id) return "the id of another request";
  if (attempt.route->stream) {
    if (attempt.last_event != events) return absl::StrCat("complete before event ", events);
  } else if (response.body() != body) {
    return "another body";
  }
  return "";
}

/// Returns the last event id; notes an id that does not follow the one before.
int64_t CheckEvents(const std::string& body, std::string& wrong) {
  int64_t last = 0;
  for (const absl::string_view line : absl::StrSplit(body, '\n')) {
    if (!absl::StartsWith(line, "id: ")) continue;
    int64_t id = 0;
    // The last line of a stream that was cut may be a part of a number.
    if (line.data() + line.size() == body.data() + body.size()) break;
    if (!absl::SimpleAtoi(line.substr(4), &id) || id != last + 1) {
      wrong = absl::StrCat("event ", line.substr(4), " after event ", last);
    }
    last = id;
  }
  return last;
}

class Caller {
 public:
  Caller(uint64_t seed, int number, const std::vector<int>& ports, const FindAdditions& additions)
      : random_(seed * 10'007 + static_cast<uint64_t>(number)),
        number_(number),
        ports_(ports),
        additions_(additions) {}

  /// Sends one request and waits for its end; returns nothing if no gateway was reached.
  std::optional<Attempt> CallOnce() {
    if (connection_ == nullptr) {
      gateway_ = static_cast<int>(Draw(0, static_cast<int64_t>(ports_.size()) - 1));
      connection_ = std::make_unique<Connection>(ports_[static_cast<size_t>(gateway_)]);
      place_ = 0;
      if (!connection_->open()) {
        connection_.reset();
        return std::nullopt;
      }
    }
    Attempt attempt;
    attempt.id = absl::StrCat("c", number_, "-", ++calls_);
    attempt.route = &kRoutes[Draw(0, std::size(kRoutes) - 1)];
    attempt.gateway = gateway_;
    attempt.place = place_++;
    const int events = static_cast<int>(Draw(3, kMaxEvents));
    const std::string body =
        attempt.route->stream ? absl::StrCat("events=", events) : PlainBody(attempt.id);
    std::string path = attempt.route->name;
    std::string key = "key-1";
    if (calls_ % kRequestsPerAddition == 0) UseAdditions(attempt, path, key);
    std::string head = absl::StrCat(
        "POST /", path, "/a HTTP/1.1\r\n", "Host: fleet.example\r\n", platform::kRequestIdHeader,
        ": ", attempt.id, "\r\n", platform::kTimeLeftHeader, ": ", ToMillis(kTimeLimit), "\r\n",
        platform::kApiKeyHeader, ": ", key, "\r\nContent-Length: ", body.size(), "\r\n");
    if (attempt.route->stream) {
      const int64_t shared = Draw(1, kSharedParts);
      absl::StrAppend(&head, platform::kModelHeader, ": model\r\n", platform::kTokenCountHeader,
                      ": 170,60\r\n", platform::kPromptPartsHeader, ": aa:100,", absl::Hex(shared),
                      ":50,", absl::Hex(number_ * 100'000 + calls_), ":20\r\n");
    }
    const bool leaves = Draw(0, 29) == 0;
    attempt.begin = SteadyNow();
    const TimePoint limit =
        attempt.begin + (leaves ? Millis(Draw(1, 400)) : kTimeLimit + kExtraWait);
    absl::StrAppend(&head, "\r\n", body);
    const bool pauses = Draw(0, 19) == 0;
    const size_t first = pauses ? static_cast<size_t>(Draw(1, head.size() - 1)) : head.size();
    attempt.error = connection_->WriteAll(head.substr(0, first), limit);
    if (pauses && attempt.error.empty()) {
      std::this_thread::sleep_for(Micros(Draw(0, kLongestUploadPause.count())));
      attempt.error = connection_->WriteAll(head.substr(first), limit);
    }
    attempt.written = attempt.error.empty();
    attempt.sent = SteadyNow();
    Receive(attempt, body, events, limit);
    attempt.end = SteadyNow();
    attempt.left = leaves && attempt.error == "time limit";
    if (!keep_alive_ || !attempt.complete || Draw(0, 49) == 0) connection_.reset();
    return attempt;
  }

  Duration Pause() {
    if (Draw(0, 199) == 0) return Micros(Draw(0, kLongestIdleTime.count()));
    return std::max(retry_after_, Micros(Draw(0, kLongestPause.count())));
  }

 private:
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  void UseAdditions(Attempt& attempt, std::string& path, std::string& key) {
    const std::optional<Additions> additions = additions_(SteadyNow());
    if (!additions) return;
    attempt.state = additions->state;
    key = additions->key;
    // Further routes are of the kind "safe".
    if (path != "safe" || additions->further_routes == 0) return;
    attempt.new_route = true;
    path = absl::StrCat("further", additions->further_routes - 1);
  }

  std::string PlainBody(const std::string& id) {
    const int64_t kind = Draw(0, 79);
    const size_t limit = kind == 0  ? kLargeBodyBytes
                         : kind < 8 ? kMediumBodyBytes
                                    : kSmallBodyBytes;
    const int64_t work_ms = Draw(0, 9) == 0 ? Draw(0, kMaxSlowWorkMs) : Draw(0, 40);
    const size_t size = static_cast<size_t>(Draw(0, static_cast<int64_t>(limit)));
    return absl::StrCat("work=", work_ms, ";", id, ";", std::string(size, 'x'));
  }

  void Receive(Attempt& attempt, const std::string& body, int events, TimePoint limit) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    std::string data;
    boost::system::error_code failure;
    while (!parser.is_done()) {
      const std::string end = connection_->ReadSome(data, limit);
      if (!end.empty()) {
        if (attempt.error.empty()) attempt.error = end;
        break;
      }
      while (!data.empty() && !parser.is_done()) {
        const size_t used = parser.put(boost::asio::buffer(data), failure);
        data.erase(0, used);
        if (failure == http::error::need_more || used == 0) break;
        if (failure) break;
      }
      if (failure && failure != http::error::need_more) {
        attempt.wrong = absl::StrCat("no HTTP: ", failure.message());
        return;
      }
    }
    const auto& response = parser.get();
    if (parser.is_header_done()) attempt.status = static_cast<int>(response.result_int());
    attempt.complete = parser.is_done();
    keep_alive_ = parser.is_header_done() && response.keep_alive();
    if (attempt.route->stream && attempt.status == 200) {
      attempt.last_event = CheckEvents(response.body(), attempt.wrong);
    }
    if (!attempt.complete) return;
    attempt.error.clear();
    if (!data.empty()) attempt.wrong = "bytes after the answer";
    if (attempt.wrong.empty()) attempt.wrong = FindWrong(response, attempt, body, events);
    double seconds = 0;
    const auto retry_after = response[platform::kRetryAfterHeader];
    const absl::string_view text(retry_after.data(), retry_after.size());
    retry_after_ = absl::SimpleAtod(text, &seconds) && seconds < 1
                       ? Millis(static_cast<int64_t>(seconds * 1'000))
                   : text.empty() ? Duration(0)
                                  : kLongestRetryAfter;
    retry_after_ = std::min(retry_after_, kLongestRetryAfter);
  }

  std::mt19937_64 random_;
  int number_;
  const std::vector<int>& ports_;
  const FindAdditions& additions_;
  std::unique_ptr<Connection> connection_;
  int gateway_ = 0;
  int place_ = 0;
  int64_t calls_ = 0;
  bool keep_alive_ = false;
  Duration retry_after_{0};
};

}  // namespace

Callers::Callers(uint64_t seed, int count, std::vector<int> ports, FindAdditions additions)
    : ports_(std::move(ports)), additions_(std::move(additions)) {
  for (int i = 0; i < count; ++i) {
    threads_.emplace_back([this, seed, i]() { Run(seed, i); });
  }
}

void Callers::Stop() {
  stopped_ = true;
  threads_.clear();
}

void Callers::Run(uint64_t seed, int number) {
  Caller caller(seed, number, ports_, additions_);
  while (!stopped_) {
    std::optional<Attempt> attempt = caller.CallOnce();
    if (attempt) {
      const std::lock_guard lock(mutex_);
      attempts_.push_back(*std::move(attempt));
    }
    const TimePoint next = SteadyNow() + caller.Pause();
    while (!stopped_ && SteadyNow() < next) {
      std::this_thread::sleep_for(std::min(kStopPollInterval, next - SteadyNow()));
    }
  }
}

}  // namespace fuchsiaweir::soak
