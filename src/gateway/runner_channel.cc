#include "gateway/runner_channel.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "core/rendezvous.h"
#include "net/http_transport.h"
#include "net/response_header.h"

namespace fuchsiaweir {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// Interim responses, and late responses to earlier requests, that may precede the awaited one.
constexpr int kMaxLateResponses = 3;
/// Idle timeout of a connection whose runner announces none.
constexpr Duration kDefaultIdleTimeout = Seconds(4);
/// Subtracted from an announced idle timeout, which is in whole seconds and counts from the
/// runner's last byte.
constexpr Duration kIdleTimeoutMargin = Millis(700);
/// Maximum idle time of a connection that carries a request that is not repeatable.
constexpr Duration kMaxIdleForNonRepeatable = Millis(1500);
/// Lower bound of the idle timeout after the margin is subtracted.
constexpr Duration kMinIdleTimeout = Millis(300);
/// Timeout of an idle connection's transport; `CloseExpired` closes it long before.
constexpr Duration kIdleTransportTimeout = std::chrono::hours(24);
/// A faulty runner may send without end. Responses are small; the limit protects the memory.
constexpr size_t kMaxHeldBytes = 8'000'000;

/// Refusals on one connection after which it is not used again.
constexpr size_t kMaxRefusals = 256;

}  // namespace

struct RunnerChannel::Impl {
  explicit Impl(tcp::socket socket) : transport(std::move(socket), nullptr) {}

  HttpTransport transport;
  std::optional<ResponseParser> parser;
  bool head_request = false;  ///< The response has no body, whatever length it gives.
  bool complete = false;
  bool closed = false;
};

RunnerChannel::RunnerChannel(tcp::socket socket)
    : impl_(std::make_unique<Impl>(std::move(socket))) {}

RunnerChannel::~RunnerChannel() = default;

void RunnerChannel::ExpireAfter(Duration timeout) { impl_->transport.ExpireAfter(timeout); }

Awaitable<bool> RunnerChannel::Send(std::string header, const std::string& body) {
  impl_->complete = false;
  impl_->head_request = header.starts_with("HEAD ");
  const auto failure = co_await impl_->transport.WriteAll(header, body);
  if (failure) failure_ = failure.message();
  co_return !failure;
}

Awaitable<bool> RunnerChannel::ReadHeader(const std::string& request_id, RunnerHeader& header) {
  for (int late = 0; late <= kMaxLateResponses; ++late) {
    impl_->parser.emplace();
    impl_->complete = false;
    ResponseParser& parser = *impl_->parser;
    parser.body_limit(boost::none);
    parser.skip(impl_->head_request);
    const auto failure = co_await ReadResponseHeader(impl_->transport, parser);
    if (failure) {
      failure_ = failure.message();
      co_return false;
    }
    // An eager parser would not return a chunk before the next one begins.
    parser.eager(false);
    header.fields.clear();
    for (const auto& field : parser.get()) {
      header.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    header.answer =
        platform::DecodeRunnerAnswer(static_cast<int>(parser.get().result_int()), header.fields);
    keep_alive_ = header.answer.keep_alive;
    const bool interim = header.answer.status / 100 == 1;
    if (header.answer.request_id == request_id && !interim) {
      if (header.answer.not_run) refused_.insert(RendezvousHash(request_id));
      co_return true;
    }
    if (!co_await DropBody() || !parser.keep_alive()) break;
  }
  failure_ = "answer to another request";
  co_return false;
}

Awaitable<bool> RunnerChannel::DropBody() {
  size_t dropped = 0;
  std::string bytes;
  Read read = Read::kData;
  while (read == Read::kData && dropped <= kMaxHeldBytes) {
    bytes.clear();
    read = co_await ReadBody(bytes);
    dropped += bytes.size();
  }
  co_return read == Read::kEnd;
}

Awaitable<RunnerChannel::Read> RunnerChannel::ReadBody(std::string& body) {
  ResponseParser& parser = *impl_->parser;
  while (true) {
    std::string& received = parser.get().body();
    if (!received.empty()) {
      body += received;
      received.clear();
      if (body.size() <= kMaxHeldBytes) co_return Read::kData;
      failure_ = "response is too large";
      Close();
      co_return Read::kBroken;
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

bool RunnerChannel::HasRefused(const std::string& request_id) const {
  return refused_.count(RendezvousHash(request_id)) > 0;
}

bool RunnerChannel::HasInput() const { return impl_->transport.HasUnexpectedInput(); }

int64_t RunnerChannel::UnacknowledgedBytes() const {
  return impl_->transport.UnacknowledgedBytes();
}

bool RunnerChannel::Reusable() const {
  if (impl_->closed || !impl_->complete || !impl_->parser || !impl_->parser->keep_alive()) {
    return false;
  }
  return refused_.size() < kMaxRefusals && !impl_->transport.HasUnexpectedInput();
}

Awaitable<RunnerChannelPool::Acquired> RunnerChannelPool::Acquire(Endpoint runner,
                                                                  std::string request_id,
                                                                  bool repeatable,
                                                                  Duration timeout) {
  Acquired acquired;
  const auto unsuited = [&](const RunnerChannel& channel) {
    return !channel.Reusable() || channel.HasRefused(request_id);
  };
  std::list<IdleChannel>& idle_list = idle_[runner];
  const TimePoint now = SteadyNow();
  while (!idle_list.empty()) {
    IdleChannel idle = std::move(idle_list.back());
    idle_list.pop_back();
    const Duration age = now - idle.since;
    if (!repeatable && age > kMaxIdleForNonRepeatable) {
      // Repeatable requests may still use it. The others in the list have been idle for longer.
      idle_list.push_back(std::move(idle));
      break;
    }
    if (unsuited(*idle.channel)) continue;
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
    // The runner, its host or the network may stand still for a moment.
    if (failure == beast::error::timeout) acquired.outcome = AttemptOutcome::kNoConnection;
    co_return acquired;
  }
  // Closing resets the connection, which discards what is not delivered yet. A request that was
  // given up must not reach the runner once a broken path works again.
  stream.socket().set_option(asio::socket_base::linger(true, 0), failure);
  acquired.channel = std::make_unique<RunnerChannel>(stream.release_socket());
  co_return acquired;
}

void RunnerChannelPool::Release(const Endpoint& runner, std::unique_ptr<RunnerChannel> channel) {
  if (!channel->Reusable()) return;
  channel->ExpireAfter(kIdleTransportTimeout);
  idle_[runner].push_back({std::move(channel), SteadyNow()});
}

bool RunnerChannelPool::HasOpen(const Endpoint& runner) const {
  const auto found = idle_.find(runner);
  return found != idle_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const IdleChannel& idle) { return idle.channel->Reusable(); });
}

void RunnerChannelPool::CloseIdleSince(const Endpoint& runner, TimePoint time) {
  idle_[runner].remove_if([time](const IdleChannel& idle) { return idle.since < time; });
}

void RunnerChannelPool::CloseExpired(TimePoint now) {
  for (auto& [runner, idle_list] : idle_) {
    idle_list.remove_if([now](const IdleChannel& idle) {
      const Duration announced = idle.channel->keep_alive();
      const Duration limit = announced > Duration{0}
                                 ? std::max(kMinIdleTimeout, announced - kIdleTimeoutMargin)
                                 : kDefaultIdleTimeout;
      return now - idle.since > limit;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

size_t RunnerChannelPool::idle() const {
  size_t count = 0;
  for (const auto& [runner, idle_list] : idle_) count += idle_list.size();
  return count;
}

}  // namespace fuchsiaweir
