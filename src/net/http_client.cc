#include "net/http_client.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <optional>
#include <utility>
#include <vector>

#include "net/http_transport.h"
#include "net/received_body.h"
#include "net/response_header.h"

namespace fuchsiaweir {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// The home agents of an entry's prompts are spread over all agents, so that an entry needs idle
// connections to all of them.
constexpr size_t kMaxIdleConnections = 512;
constexpr Duration kIdleTimeout = Seconds(60);  // Below the server's idle timeout of 75 s.
constexpr size_t kMaxLineBytes = 4'000'000;
constexpr int kMaxInterimResponses = 3;

std::string Serialize(const Endpoint& endpoint, const HttpRequest& request) {
  std::string message = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (HeaderValue(request.headers, "Host").empty()) {
    absl::StrAppend(&message, "Host: ", ToString(endpoint), "\r\n");
  }
  for (const auto& [name, value] : request.headers) {
    absl::StrAppend(&message, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&message, "Content-Length: ", request.body.size(), "\r\n\r\n", request.body);
  return message;
}

HttpResponse ToResponse(http::response<ReceivedBody>& message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  response.body = std::move(message.body());
  return response;
}

struct IdleConnection {
  Endpoint endpoint;
  std::unique_ptr<HttpTransport> transport;
  TimePoint idle_since;
};

}  // namespace

struct HttpStream::Impl {
  std::unique_ptr<HttpTransport> transport;
  ResponseParser parser;
  HttpResponse header;
  std::string pending;  ///< Received bytes of the body that `ReadLine` has not returned yet.
};

HttpStream::HttpStream(std::unique_ptr<HttpTransport> transport) : impl_(std::make_unique<Impl>()) {
  impl_->transport = std::move(transport);
  impl_->parser.body_limit(boost::none);
  impl_->parser.eager(true);
}

HttpStream::~HttpStream() = default;

const HttpResponse& HttpStream::header() const { return impl_->header; }

void HttpStream::Close() { impl_->transport->Close(); }

Awaitable<HttpStream::Line> HttpStream::ReadLine(Duration timeout) {
  Impl& impl = *impl_;
  impl.transport->ExpireAfter(timeout);
  while (true) {
    std::string& received = impl.parser.get().body();
    impl.pending += received;
    received.clear();
    const size_t newline = impl.pending.find('\n');
    if (newline != std::string::npos) {
      Line line{ReadStatus::kLine, impl.pending.substr(0, newline)};
      impl.pending.erase(0, newline + 1);
      co_return line;
    }
    if (impl.parser.is_done()) {
      co_return Line{impl.pending.empty() ? ReadStatus::kEnd : ReadStatus::kFailed, ""};
    }
    if (impl.pending.size() > kMaxLineBytes) co_return Line{};
    const auto failure = co_await impl.transport->ReadSome(impl.parser);
    if (failure == beast::error::timeout) co_return Line{ReadStatus::kTimedOut, ""};
    if (failure) co_return Line{};
  }
}

struct HttpClient::Impl {
  Impl(asio::io_context& io_context, TlsContext tls_context)
      : io(io_context), tls(std::move(tls_context)) {}

  std::unique_ptr<HttpTransport> TakeIdle(const Endpoint& endpoint);
  void PutIdle(const Endpoint& endpoint, std::unique_ptr<HttpTransport> transport);
  void CloseIdle(const Endpoint& endpoint);
  void CloseExpired();
  Awaitable<std::unique_ptr<HttpTransport>> Connect(Endpoint endpoint, Duration timeout,
                                                    std::string& failure);
  Awaitable<std::unique_ptr<HttpTransport>> Acquire(Endpoint endpoint, CallOptions options,
                                                    HttpResult& result);

  void RunRequestHooks(const Endpoint& endpoint, HttpRequest& request) const {
    for (const HttpClientHook& hook : hooks) {
      if (hook.on_request) hook.on_request(endpoint, request);
    }
  }
  void RunResponseHooks(const Endpoint& endpoint, const HttpRequest& request,
                        const HttpResponse& response) const {
    for (const HttpClientHook& hook : hooks) {
      if (hook.on_response) hook.on_response(endpoint, request, response);
    }
  }

  asio::io_context& io;
  TlsContext tls;
  std::vector<HttpClientHook> hooks;
  std::list<IdleConnection> idle;  ///< Least recently used first.
};

std::unique_ptr<HttpTransport> HttpClient::Impl::TakeIdle(const Endpoint& endpoint) {
  CloseExpired();
  for (auto it = idle.end(); it != idle.begin();) {
    --it;
    if (it->endpoint != endpoint) continue;
    std::unique_ptr<HttpTransport> transport = std::move(it->transport);
    it = idle.erase(it);
    // Unread bytes are a second copy of an earlier answer.
    if (!transport->HasUnexpectedInput()) return transport;
  }
  return nullptr;
}

void HttpClient::Impl::PutIdle(const Endpoint& endpoint, std::unique_ptr<HttpTransport> transport) {
  transport->tcp().expires_never();
  idle.push_back({endpoint, std::move(transport), SteadyNow()});
  if (idle.size() > kMaxIdleConnections) idle.pop_front();
  CloseExpired();
}

void HttpClient::Impl::CloseIdle(const Endpoint& endpoint) {
  idle.remove_if([&](const IdleConnection& item) { return item.endpoint == endpoint; });
}

void HttpClient::Impl::CloseExpired() {
  const TimePoint now = SteadyNow();
  while (!idle.empty() && now - idle.front().idle_since >= kIdleTimeout) idle.pop_front();
}

Awaitable<std::unique_ptr<HttpTransport>> HttpClient::Impl::Connect(Endpoint endpoint,
                                                                    Duration timeout,
                                                                    std::string& failure) {
  boost::system::error_code error;
  const asio::ip::address address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    failure = absl::StrCat("\"", endpoint.address, "\" is not an IP address");
    co_return nullptr;
  }
  auto transport = std::make_unique<HttpTransport>(tcp::socket(io), tls);
  transport->ExpireAfter(timeout);
  const tcp::endpoint peer(address, endpoint.port);
  co_await transport->tcp().async_connect(peer, asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    transport->tcp().socket().set_option(tcp::no_delay(true), error);
    error = co_await transport->Handshake(asio::ssl::stream_base::client);
  }
  if (error) {
    failure = absl::StrCat("cannot connect to ", ToString(endpoint), ": ", error.message());
    co_return nullptr;
  }
  co_return transport;
}

Awaitable<std::unique_ptr<HttpTransport>> HttpClient::Impl::Acquire(Endpoint endpoint,
                                                                    CallOptions options,
                                                                    HttpResult& result) {
  if (!options.fresh_connection) {
    std::unique_ptr<HttpTransport> pooled = TakeIdle(endpoint);
    if (pooled != nullptr) {
      result.reused = true;
      co_return pooled;
    }
  }
  const Duration timeout = std::min(options.connect_timeout, options.timeout);
  co_return co_await Connect(endpoint, timeout, result.failure);
}

HttpClient::HttpClient(asio::io_context& io, TlsContext tls)
    : impl_(std::make_shared<Impl>(io, std::move(tls))) {}

HttpClient::~HttpClient() = default;

void HttpClient::AddHook(HttpClientHook hook) { impl_->hooks.push_back(std::move(hook)); }

int64_t HttpClient::idle_connections() const { return static_cast<int64_t>(impl_->idle.size()); }

Awaitable<HttpResult> HttpClient::Call(Endpoint endpoint, HttpRequest request,
                                       CallOptions options) {
  const std::shared_ptr<Impl> impl = impl_;
  HttpResult result;
  std::unique_ptr<HttpTransport> transport = co_await impl->Acquire(endpoint, options, result);
  if (transport == nullptr) co_return result;

  result.stage = CallStage::kSent;
  transport->ExpireAfter(options.timeout);
  impl->RunRequestHooks(endpoint, request);
  const std::string message = Serialize(endpoint, request);
  auto failure = co_await transport->WriteAll(message);
  std::optional<ResponseParser> received;
  for (int interim = 0; !failure && interim <= kMaxInterimResponses; ++interim) {
    received.emplace();
    received->body_limit(static_cast<uint64_t>(options.max_body_bytes));
    failure = co_await ReadResponseHeader(*transport, *received);
    if (!failure && !received->is_done()) failure = co_await transport->Read(*received);
    if (failure || received->get().result_int() / 100 != 1) break;
    if (interim == kMaxInterimResponses) failure = http::error::bad_status;
  }
  if (failure) {
    result.failure = absl::StrCat("call to ", ToString(endpoint), " failed: ", failure.message());
    result.too_large = failure == http::error::body_limit;
    // Whatever silenced this connection, such as a gateway on the path that lost its state, has
    // probably silenced the idle ones too, and each would cost one more timeout.
    if (failure == beast::error::timeout) impl->CloseIdle(endpoint);
    co_return result;
  }
  result.stage = CallStage::kAnswered;
  const bool keep_alive = received->get().keep_alive();
  result.response = ToResponse(received->get());
  impl->RunResponseHooks(endpoint, request, *result.response);
  if (keep_alive) impl->PutIdle(endpoint, std::move(transport));
  co_return result;
}

Awaitable<HttpStreamResult> HttpClient::OpenStream(Endpoint endpoint, HttpRequest request,
                                                   CallOptions options) {
  const std::shared_ptr<Impl> impl = impl_;
  HttpStreamResult result;
  // The connection of a stream is closed together with the stream and never returns to the pool.
  std::unique_ptr<HttpTransport> transport = co_await impl->Connect(
      endpoint, std::min(options.connect_timeout, options.timeout), result.failure);
  if (transport == nullptr) co_return result;

  result.stage = CallStage::kSent;
  transport->ExpireAfter(options.timeout);
  auto stream = std::make_unique<HttpStream>(std::move(transport));
  HttpStream::Impl& state = *stream->impl_;
  impl->RunRequestHooks(endpoint, request);
  const std::string message = Serialize(endpoint, request);
  auto failure = co_await state.transport->WriteAll(message);
  if (!failure) failure = co_await ReadResponseHeader(*state.transport, state.parser);
  const bool error_status = !failure && state.parser.get().result_int() / 100 != 2;
  while (error_status && !failure && !state.parser.is_done()) {
    failure = co_await state.transport->ReadSome(state.parser);
    // The parser's own limit would also end the body of a stream.
    const auto size = static_cast<int64_t>(state.parser.get().body().size());
    if (!failure && size > options.max_body_bytes) failure = http::error::body_limit;
  }
  if (failure) {
    result.failure = absl::StrCat("call to ", ToString(endpoint), " failed: ", failure.message());
    co_return result;
  }
  result.stage = CallStage::kAnswered;
  if (error_status) {
    result.response = ToResponse(state.parser.get());
    impl->RunResponseHooks(endpoint, request, *result.response);
    co_return result;
  }
  std::string received = std::move(state.parser.get().body());
  state.header = ToResponse(state.parser.get());
  impl->RunResponseHooks(endpoint, request, state.header);
  state.parser.get().body().clear();
  state.pending = std::move(received);
  result.stream = std::move(stream);
  co_return result;
}

}  // namespace fuchsiaweir
