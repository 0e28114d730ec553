#include "gateway/runner_channel.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <optional>
#include <utility>

#include "net/http_transport.h"

namespace fuchsiaweir {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Parser = http::response_parser<http::string_body>;

/// Late answers that may stand before the awaited one.
constexpr int kMaxLateAnswers = 3;
/// Idle time of a connection whose runner announces none.
constexpr Duration kDefaultIdle = Seconds(4);
/// An announced idle time is in whole seconds and counts from the runner's last byte.
constexpr Duration kIdleMargin = Millis(700);
/// Idle time up to which a connection carries a request that may run only once.
constexpr Duration kFreshIdle = Millis(1500);
constexpr int64_t kMaxHeaderBytes = 65'536;

/// Whether the peer has closed the connection, or sent bytes that nobody asked for.
bool HasInput(HttpTransport& transport) {
  char byte = 0;
  const ssize_t count =
      recv(transport.tcp().socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace

struct RunnerChannel::Impl {
  explicit Impl(tcp::socket socket) : transport(std::move(socket), nullptr) {}

  HttpTransport transport;
  std::optional<Parser> parser;
  bool complete = false;
  bool closed = false;
};

RunnerChannel::RunnerChannel(tcp::socket socket)
    : impl_(std::make_unique<Impl>(std::move(socket))) {}

RunnerChannel::~RunnerChannel() = default;

void RunnerChannel::ExpireAfter(Duration timeout) { impl_->transport.ExpireAfter(timeout); }

Awaitable<bool> RunnerChannel::Send(std::string header, const std::string& body) {
  impl_->complete = false;
  header += body;
  const auto failure = co_await impl_->transport.WriteAll(header);
  if (failure) failure_ = failure.message();
  co_return !failure;
}

Awaitable<bool> RunnerChannel::ReadHeader(const std::string& request_id, RunnerHeader& header) {
  for (int late = 0; late <= kMaxLateAnswers; ++late) {
    impl_->parser.emplace();
    Parser& parser = *impl_->parser;
    parser.body_limit(boost::none);
    parser.header_limit(kMaxHeaderBytes);
    const auto failure = co_await impl_->transport.ReadHeader(parser);
    if (failure) {
      failure_ = failure.message();
      co_return false;
    }
    // An eager parser would hold back a chunk until the next one begins.
    parser.eager(false);
    header.fields.clear();
    for (const auto& field : parser.get()) {
      header.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    header.answer =
        platform::DecodeRunnerAnswer(static_cast<int>(parser.get().result_int()), header.fields);
    keep_alive_ = header.answer.keep_alive;
    if (header.answer.request_id == request_id) co_return true;
    std::string dropped;
    Read read = Read::kData;
    while (read == Read::kData) read = co_await ReadBody(dropped);
    if (read == Read::kBroken || !parser.keep_alive()) break;
  }
  failure_ = "answer to another request";
  co_return false;
}

Awaitable<RunnerChannel::Read> RunnerChannel::ReadBody(std::string& body) {
  Parser& parser = *impl_->parser;
  while (true) {
    std::string& received = parser.get().body();
    if (!received.empty()) {
      body += received;
      received.clear();
      co_return Read::kData;
    }
    if (parser.is_done()) {
      impl_->complete = true;
      co_return Read::kEnd;
    }
    const auto failure = co_await impl_->transport.ReadSome(parser);
    if (!failure) continue;
    failure_ = failure.message();
    co_return Read::kBroken;
  }
}

void RunnerChannel::Close() {
  impl_->closed = true;
  impl_->transport.Close();
}

bool RunnerChannel::Reusable() const {
  if (impl_->closed || !impl_->complete || !impl_->parser || !impl_->parser->keep_alive()) {
    return false;
  }
  return !impl_->transport.HasBuffered() && !HasInput(impl_->transport);
}

Awaitable<RunnerChannels::Acquired> RunnerChannels::Acquire(Endpoint runner, bool repeatable,
                                                            Duration timeout) {
  Acquired acquired;
  std::list<Idle>& list = idle_[runner];
  const TimePoint now = SteadyNow();
  while (!list.empty()) {
    Idle idle = std::move(list.back());
    list.pop_back();
    const Duration age = now - idle.since;
    if (!repeatable && age > kFreshIdle) {
      // It stays for requests that may be repeated; older ones are no better.
      list.push_back(std::move(idle));
      break;
    }
    if (!idle.channel->Reusable()) continue;
    acquired.channel = std::move(idle.channel);
    acquired.reused = true;
    co_return acquired;
  }
  ++opened_;
  boost::system::error_code failure;
  const asio::ip::address address = asio::ip::make_address(runner.address, failure);
  if (failure) {
    acquired.failure = failure.message();
    co_return acquired;
  }
  beast::tcp_stream stream(io_);
  stream.expires_after(timeout);
  co_await stream.async_connect(tcp::endpoint(address, runner.port),
                                asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    acquired.failure = failure.message();
    co_return acquired;
  }
  acquired.channel = std::make_unique<RunnerChannel>(stream.release_socket());
  co_return acquired;
}

void RunnerChannels::Release(const Endpoint& runner, std::unique_ptr<RunnerChannel> channel) {
  if (!channel->Reusable()) return;
  channel->ExpireAfter(std::chrono::hours(24));
  idle_[runner].push_back({std::move(channel), SteadyNow()});
}

void RunnerChannels::CloseExpired(TimePoint now) {
  for (auto& [runner, list] : idle_) {
    list.remove_if([now](const Idle& idle) {
      const Duration announced = idle.channel->keep_alive();
      const Duration limit =
          announced > Duration{0} ? std::max(Millis(300), announced - kIdleMargin) : kDefaultIdle;
      return now - idle.since > limit;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

size_t RunnerChannels::idle() const {
  size_t count = 0;
  for (const auto& [runner, list] : idle_) count += list.size();
  return count;
}

}  // namespace fuchsiaweir
