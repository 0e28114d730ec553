#include "net/http_server.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/json.hpp>
#include <list>
#include <optional>
#include <utility>

#include "core/utf8.h"
#include "net/http_transport.h"
#include "net/log.h"
#include "net/received_body.h"
#include "net/transfer_coding.h"

namespace fuchsiaweir {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using RequestParser = http::request_parser<ReceivedBody>;

constexpr Duration kDrainPollInterval = Millis(20);
/// Time for the first request on a connection that was accepted when the drain began.
constexpr Duration kDrainFirstBytes = Millis(100);
constexpr Duration kAcceptRetryDelay = Millis(10);
// Limits of the input that is discarded after a request was rejected before it was read completely.
constexpr size_t kMaxLingerBytes = 64'000'000;
/// After a body beyond the limit: about what the sockets of both sides hold already, so that the
/// answer is not lost to a reset.
constexpr size_t kMaxOversizeLingerBytes = 1'000'000;
constexpr Duration kLingerTimeout = Seconds(2);
/// Time that an upload waits for room. A caller whose request may be repeated leaves earlier.
constexpr Duration kMaxUploadWait = Millis(2500);
/// Between two checks whether slower uploads have lost their claim to room.
constexpr Duration kUploadPollInterval = Millis(250);
/// Time that a connection is idle before it may be closed in favour of a new one. The first request
/// on a younger one may be on the way.
constexpr Duration kMinIdleTime = Millis(500);
/// Connections beyond the limit that are answered. Further ones are closed.
constexpr int64_t kMaxRefusing = 64;
/// Memory of a connection and its request, without the body.
constexpr int64_t kConnectionBytes = 16'384;
/// Room of the read buffer beyond the head: the begin of the body, or a chunk's head.
constexpr int64_t kBufferMarginBytes = 16'384;
/// Part of a response that is written at once. A smaller one costs more system calls.
constexpr size_t kWriteBytes = 131'072;
constexpr Duration kUploadRetryAfter = Seconds(1);

HttpRequest ToRequest(http::request<ReceivedBody>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

/// Returns the response to a request that could not be read, or nothing if the connection ended.
std::optional<HttpResponse> ReadFailureResponse(const boost::system::error_code& failure) {
  // The buffer overflows in a chunk extension or a trailer.
  if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
    HttpResponse response = ErrorResponse(
        {ErrorCode::kTooLarge, RunState::kNotRun, "request header is too large", Duration{0}});
    response.status = 431;
    return response;
  }
  if (failure == http::error::body_limit) {
    return ErrorResponse(
        {ErrorCode::kTooLarge, RunState::kNotRun, "request body is too large", Duration{0}});
  }
  if (failure == asio::error::operation_aborted) {
    return ErrorResponse({ErrorCode::kTimeout, RunState::kNotRun,
                          "request was not received within the read timeout", Duration{0}});
  }
  if (failure == http::error::partial_message) {
    return ErrorResponse({ErrorCode::kBadRequest, RunState::kNotRun,
                          "request ended before its announced length", Duration{0}});
  }
  if (failure.category() == http::make_error_code(http::error::bad_method).category() &&
      failure != http::error::end_of_stream) {
    return ErrorResponse({ErrorCode::kBadRequest, RunState::kNotRun,
                          "malformed HTTP request: " + failure.message(), Duration{0}});
  }
  return std::nullopt;
}

/// Cancels the operations of a connection whose request takes too long to arrive.
class ReadDeadline {
 public:
  ReadDeadline(asio::io_context& io, HttpTransport& transport, Duration timeout)
      : io_(io), transport_(transport), timer_(io), end_(SteadyNow() + timeout) {}

  void Start() {
    timer_.expires_at(end_);
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) transport_.tcp().cancel();
    });
  }

  Awaitable<void> Stop() {
    // If the timer has expired already, its handler may still be queued on this thread. Yielding
    // lets it run while the transport still exists.
    if (timer_.cancel() == 0) co_await asio::post(io_, asio::use_awaitable);
  }

  void Extend(Duration duration) { end_ += duration; }
  bool passed() const { return SteadyNow() >= end_; }

 private:
  asio::io_context& io_;
  HttpTransport& transport_;
  asio::steady_timer timer_;
  TimePoint end_;
};

/// Bytes of a connection or a head, which end with this object.
class FixedBytes {
 public:
  FixedBytes(UploadBudget& budget, int64_t bytes) : budget_(budget), bytes_(bytes) {
    budget_.AddConnectionBytes(bytes_);
  }
  ~FixedBytes() { budget_.AddConnectionBytes(-bytes_); }
  FixedBytes(const FixedBytes&) = delete;
  FixedBytes& operator=(const FixedBytes&) = delete;

 private:
  UploadBudget& budget_;
  int64_t bytes_;
};

/// The body of a request and its room in memory.
struct Reception {
  Reception(asio::io_context& io, HttpTransport& transport, UploadBudget& budget)
      : admitted(io), upload(budget, [this, &transport]() {
          admitted.cancel();
          if (upload.evicted()) transport.tcp().cancel();
        }) {}

  RequestParser parser;
  asio::steady_timer admitted;  ///< Cancelled when the upload no longer waits.
  UploadBudget::Upload upload;
  bool refused = false;  ///< There are too many connections.
  Duration waited{0};
};

}  // namespace

HttpExchange::HttpExchange(HttpTransport& transport, HttpRequest request, Duration write_timeout)
    : transport_(transport),
      request_(std::move(request)),
      target_(ParseTarget(request_.target)),
      write_timeout_(write_timeout) {}

void HttpExchange::AddHeader(std::string name, std::string value) {
  added_headers_.emplace_back(std::move(name), std::move(value));
}

bool HttpExchange::peer_closed() const { return transport_.PeerClosed(); }

void HttpExchange::ReleaseBody() {
  std::string().swap(request_.body);
  if (upload_ != nullptr) upload_->Resize(0);
}

void HttpExchange::Abort() {
  state_ = State::kFailed;
  keep_alive_ = false;
  transport_.Close();
}

std::string HttpExchange::Header(int status, const HttpHeaders& headers) const {
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  std::string text =
      absl::StrCat("HTTP/1.1 ", status, " ", std::string(reason.data(), reason.size()), "\r\n");
  for (const auto& [name, value] : headers) absl::StrAppend(&text, name, ": ", value, "\r\n");
  for (const auto& [name, value] : added_headers_) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  if (!keep_alive_) absl::StrAppend(&text, "Connection: close\r\n");
  return text;
}

Awaitable<bool> HttpExchange::Write(std::string data, State next, std::string_view more,
                                    MemoryBudget::Share* memory) {
  transport_.ExpireAfter(write_timeout_);
  std::string_view piece = more.substr(0, kWriteBytes);
  auto failure = co_await transport_.WriteAll(data, piece);
  while (!failure && piece.size() < more.size()) {
    if (memory != nullptr) memory->AddProgress(static_cast<int64_t>(piece.size()));
    more.remove_prefix(piece.size());
    piece = more.substr(0, kWriteBytes);
    failure = co_await transport_.WriteAll(piece);
  }
  state_ = failure ? State::kFailed : next;
  if (failure) keep_alive_ = false;
  co_return !failure;
}

Awaitable<bool> HttpExchange::Respond(HttpResponse response, MemoryBudget::Share* memory) {
  if (state_ != State::kWaiting) co_return false;
  std::string message = Header(response.status, response.headers);
  absl::StrAppend(&message, "Content-Length: ", response.body.size(), "\r\n\r\n");
  const std::string_view body = request_.method == "HEAD" ? std::string_view() : response.body;
  co_return co_await Write(std::move(message), State::kAnswered, body, memory);
}

Awaitable<bool> HttpExchange::BeginStream(int status, HttpHeaders headers) {
  if (state_ != State::kWaiting) co_return false;
  std::string message = Header(status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
  co_return co_await Write(std::move(message), State::kStreaming);
}

Awaitable<bool> HttpExchange::WriteChunk(std::string data) {
  if (state_ != State::kStreaming) co_return false;
  if (data.empty()) co_return true;
  std::string chunk = absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
  co_return co_await Write(std::move(chunk), State::kStreaming);
}

Awaitable<bool> HttpExchange::EndStream() {
  if (state_ != State::kStreaming) co_return false;
  std::string last = "0\r\n\r\n";
  co_return co_await Write(std::move(last), State::kAnswered);
}

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse ErrorResponse(const Error& error) {
  const boost::json::object body{{"error",
                                  {{"code", std::string(Name(error.code))},
                                   {"message", SanitizeUtf8(error.message, kMaxErrorMessageBytes)},
                                   {"run_state", std::string(Name(error.run_state))}}}};
  HttpResponse response = JsonResponse(HttpStatus(error.code), boost::json::serialize(body));
  if (error.retry_after > Duration{0}) {
    const int64_t seconds = (error.retry_after + Seconds(1) - Micros(1)) / Seconds(1);
    response.headers.emplace_back("Retry-After", absl::StrCat(seconds));
  }
  return response;
}

HttpResponse RespondToRefusal(const HttpRequest& request, const RequestRefusal& refusal,
                              const LogFields& fields) {
  const bool memory = refusal.cause == RequestRefusal::Cause::kMemory;
  LogFields all = fields;
  all.insert(all.end(), {{"target", request.target},
                         {"connections", absl::StrCat(refusal.connections)},
                         {"held_bytes", absl::StrCat(refusal.held_bytes)},
                         {"asked_bytes", absl::StrCat(refusal.asked_bytes)},
                         {"waited_ms", absl::StrCat(ToMillis(refusal.waited))}});
  LogInfo(memory ? "upload_refused" : "connection_refused", all);
  return ErrorResponse({ErrorCode::kOverloaded, RunState::kNotRun,
                        memory ? "no memory for the request body" : "too many connections",
                        kUploadRetryAfter});
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  struct IdleConnection {
    HttpTransport* transport;  ///< Null if it was closed.
    TimePoint since;
  };

  Impl(asio::io_context& io_context, HttpServerOptions server_options, HttpHandler request_handler)
      : io(io_context),
        options(std::move(server_options)),
        handler(std::move(request_handler)),
        acceptor(io_context),
        own_memory(options.body_memory_bytes),
        uploads(options.memory == nullptr ? own_memory : *options.memory) {
    if (!options.refuse) {
      options.refuse = [](const HttpRequest& request, const RequestRefusal& refusal) {
        return RespondToRefusal(request, refusal);
      };
    }
  }

  void Listen();
  Awaitable<void> AcceptLoop();
  /// Starts to serve the connection.
  void Start(tcp::socket socket);
  /// Accepts the connections that are waiting, then no more.
  void CloseAcceptor();
  /// Closes the connection that has been idle for longest. Returns whether there was one.
  bool CloseLongestIdle();
  Awaitable<void> Serve(std::shared_ptr<HttpTransport> transport, bool refuse);
  Awaitable<bool> ServeOne(HttpTransport& transport, bool refuse);
  Awaitable<boost::system::error_code> ReadRequest(HttpTransport& transport, Reception& reception);
  Awaitable<boost::system::error_code> ReadHeaderAndBody(HttpTransport& transport,
                                                         Reception& reception,
                                                         ReadDeadline& deadline);
  /// Waits until the body has room or is refused.
  Awaitable<void> WaitForRoom(Reception& reception, ReadDeadline& deadline);
  Awaitable<void> RespondToFailure(HttpTransport& transport, HttpResponse response,
                                   size_t linger_bytes, Duration linger_timeout);
  Awaitable<void> Handle(HttpExchange& exchange);

  asio::io_context& io;
  HttpServerOptions options;
  HttpHandler handler;
  tcp::acceptor acceptor;
  MemoryBudget own_memory;  ///< Unused if the options name a budget.
  UploadBudget uploads;
  std::list<IdleConnection> idle;  ///< Connections between two requests, the longest idle first.
  int64_t connections = 0;
  int64_t handled = 0;  ///< Requests that the handler works on.
  int64_t active = 0;
  bool draining = false;
};

void HttpServer::Impl::Listen() {
  const tcp::endpoint endpoint(asio::ip::make_address(options.listen.address), options.listen.port);
  acceptor = tcp::acceptor(io);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (options.socket_buffer_bytes > 0) {
    // Connections inherit these sizes. Set later, they would not bound the window that is offered.
    acceptor.set_option(asio::socket_base::receive_buffer_size(options.socket_buffer_bytes));
    acceptor.set_option(asio::socket_base::send_buffer_size(options.socket_buffer_bytes));
  }
  acceptor.bind(endpoint);
  acceptor.listen();
}

Awaitable<void> HttpServer::Impl::AcceptLoop() {
  while (acceptor.is_open()) {
    boost::system::error_code failure;
    tcp::socket socket =
        co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      if (!acceptor.is_open()) break;
      // Usually the process is out of file descriptors until a connection closes.
      co_await SleepFor(kAcceptRetryDelay);
      continue;
    }
    Start(std::move(socket));
  }
}

void HttpServer::Impl::Start(tcp::socket socket) {
  const bool refuse = connections >= options.max_connections && !CloseLongestIdle();
  // The socket's destructor closes it.
  if (refuse && connections >= options.max_connections + kMaxRefusing) return;
  auto transport = std::make_shared<HttpTransport>(std::move(socket), options.tls);
  transport->SetMaxBufferBytes(static_cast<size_t>(options.max_header_bytes + kBufferMarginBytes));
  ++connections;
  Spawn(io, "http_connection", [self = shared_from_this(), transport, refuse]() -> Awaitable<void> {
    const FixedBytes bytes(self->uploads, kConnectionBytes);
    const absl::Cleanup closed = [&self]() { --self->connections; };
    co_await self->Serve(transport, refuse);
  });
}

void HttpServer::Impl::CloseAcceptor() {
  // For callers these connections are open, and their requests may be on the way. Closing the
  // acceptor would reset them.
  boost::system::error_code failure;
  acceptor.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(io);
    acceptor.accept(socket, failure);
    if (!failure) Start(std::move(socket));
  }
  acceptor.close(failure);
}

// Load pattern: callers that keep many connections and use few of them. Their requests come back on
// a new connection, while one that is turned away has to wait.
bool HttpServer::Impl::CloseLongestIdle() {
  const TimePoint latest = SteadyNow() - kMinIdleTime;
  for (auto entry = idle.begin(); entry != idle.end() && entry->since <= latest; ++entry) {
    if (entry->transport == nullptr || entry->transport->HasUnexpectedInput()) continue;
    entry->transport->Close();
    entry->transport = nullptr;  // Its coroutine removes the entry.
    return true;
  }
  return false;
}

Awaitable<void> HttpServer::Impl::Serve(std::shared_ptr<HttpTransport> transport, bool refuse) {
  transport->ExpireAfter(options.read_timeout);
  const auto failure = co_await transport->Handshake(asio::ssl::stream_base::server);
  bool open = !failure;
  while (open) {
    transport->ExpireAfter(refuse ? options.read_timeout : options.idle_timeout);
    boost::system::error_code closed;
    {
      const auto entry = idle.insert(idle.end(), {transport.get(), SteadyNow()});
      const absl::Cleanup readable = [&]() { idle.erase(entry); };
      closed = co_await transport->WaitReadable();
    }
    if (closed) break;
    ++active;
    const absl::Cleanup served = [this]() { --active; };
    const FixedBytes head(uploads, options.max_header_bytes);
    open = co_await ServeOne(*transport, refuse);
    open = open && !draining;
  }
  transport->Close();
}

Awaitable<boost::system::error_code> HttpServer::Impl::ReadRequest(HttpTransport& transport,
                                                                   Reception& reception) {
  reception.parser.header_limit(static_cast<uint32_t>(options.max_header_bytes));
  reception.parser.body_limit(static_cast<uint64_t>(options.max_body_bytes));
  // The stream's own timeout closes the socket, so that a slow sender would get no error response.
  // This timer only cancels the pending operation.
  transport.tcp().expires_never();
  ReadDeadline deadline(io, transport, options.read_timeout);
  deadline.Start();
  const auto failure = co_await ReadHeaderAndBody(transport, reception, deadline);
  co_await deadline.Stop();
  co_return failure;
}

Awaitable<boost::system::error_code> HttpServer::Impl::ReadHeaderAndBody(HttpTransport& transport,
                                                                         Reception& reception,
                                                                         ReadDeadline& deadline) {
  RequestParser& parser = reception.parser;
  auto failure = co_await transport.ReadHeader(parser);
  if (!failure && reception.refused) co_return asio::error::no_memory;
  // The rest of the body would pass for the next request of the connection, and the runner would
  // get another body than was sent.
  if (!failure && !HasKnownTransferCoding(parser.get()))
    co_return http::error::bad_transfer_encoding;
  if (failure || parser.is_done()) co_return failure;
  parser.eager(true);
  const auto announced = parser.content_length();
  if (announced) reception.upload.Expect(static_cast<int64_t>(*announced), SteadyNow());
  co_await WaitForRoom(reception, deadline);
  if (reception.upload.evicted()) co_return asio::error::no_memory;
  const auto expect = parser.get()[http::field::expect];
  if (absl::EqualsIgnoreCase(std::string(expect.data(), expect.size()), "100-continue")) {
    failure = co_await transport.WriteAll("HTTP/1.1 100 Continue\r\n\r\n");
  }
  while (!failure && !parser.is_done()) {
    failure = co_await transport.ReadSome(parser);
    const auto bytes = static_cast<int64_t>(parser.get().body().size());
    if (!reception.upload.Resize(bytes)) co_return asio::error::no_memory;
    if (failure || parser.is_done()) break;
    if (deadline.passed()) co_return asio::error::operation_aborted;
    if (announced || bytes <= UploadBudget::kSmallBytes) continue;
    reception.upload.Expect(options.max_body_bytes, SteadyNow());
    co_await WaitForRoom(reception, deadline);
    if (reception.upload.evicted()) co_return asio::error::no_memory;
  }
  if (reception.upload.evicted()) co_return asio::error::no_memory;
  if (!failure) reception.upload.Complete();
  co_return failure;
}

Awaitable<void> HttpServer::Impl::WaitForRoom(Reception& reception, ReadDeadline& deadline) {
  if (!reception.upload.waiting()) co_return;
  co_await deadline.Stop();
  const TimePoint start = SteadyNow();
  const TimePoint limit = start + kMaxUploadWait;
  while (reception.upload.waiting()) {
    const TimePoint now = SteadyNow();
    if (now >= limit) {
      uploads.Refuse(reception.upload);
      break;
    }
    reception.admitted.expires_at(std::min(now + kUploadPollInterval, limit));
    boost::system::error_code cancelled;
    co_await reception.admitted.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    uploads.AdmitWaiting(SteadyNow());
  }
  // The caller could not send in this time.
  reception.waited = SteadyNow() - start;
  deadline.Extend(reception.waited);
  deadline.Start();
}

Awaitable<void> HttpServer::Impl::RespondToFailure(HttpTransport& transport, HttpResponse response,
                                                   size_t linger_bytes, Duration linger_timeout) {
  HttpExchange exchange(transport, HttpRequest{}, options.write_timeout);
  exchange.CloseAfterResponse();
  co_await exchange.Respond(std::move(response));
  co_await transport.Linger(linger_bytes, linger_timeout);
}

Awaitable<bool> HttpServer::Impl::ServeOne(HttpTransport& transport, bool refuse) {
  std::optional<Reception> reception(std::in_place, io, transport, uploads);
  reception->refused = refuse;
  const auto failure = co_await ReadRequest(transport, *reception);
  if (failure) {
    std::optional<HttpResponse> response = ReadFailureResponse(failure);
    Duration linger_timeout = kLingerTimeout;
    const size_t linger_bytes =
        failure == http::error::body_limit ? kMaxOversizeLingerBytes : kMaxLingerBytes;
    if (failure == asio::error::no_memory) {
      const auto cause =
          reception->refused ? RequestRefusal::Cause::kConnections : RequestRefusal::Cause::kMemory;
      const RequestRefusal refusal{cause, connections, uploads.used_bytes(),
                                   reception->upload.expected_bytes(), reception->waited};
      HttpRequest request = ToRequest(reception->parser.release());
      request.body.clear();
      response = options.refuse(request, refusal);
      // A caller that reads the answer only after it has sent everything would lose it earlier.
      if (!draining) linger_timeout = std::max(linger_timeout, options.read_timeout);
    }
    reception.reset();
    if (response) {
      HttpResponse refusal = std::move(*response);
      co_await RespondToFailure(transport, std::move(refusal), linger_bytes, linger_timeout);
    }
    co_return false;
  }
  const bool keep_alive = reception->parser.get().keep_alive();
  HttpExchange exchange(transport, ToRequest(reception->parser.release()), options.write_timeout);
  exchange.SetUpload(&reception->upload);
  if (!keep_alive || draining) exchange.CloseAfterResponse();
  if (connections + handled >= options.max_descriptors) {
    const RequestRefusal refusal{RequestRefusal::Cause::kConnections, connections,
                                 uploads.used_bytes(), 0, Duration{0}};
    HttpResponse response = options.refuse(exchange.request(), refusal);
    co_await exchange.Respond(std::move(response));
  } else {
    ++handled;
    const absl::Cleanup ended = [this]() { --handled; };
    co_await Handle(exchange);
  }
  co_return exchange.keep_alive() && exchange.answered();
}

Awaitable<void> HttpServer::Impl::Handle(HttpExchange& exchange) {
  std::string failure;
  try {
    co_await handler(exchange);
  } catch (const std::exception& e) {
    failure = e.what();
  }
  if (!failure.empty()) LogError("handler_failed", {{"reason", failure}});
  if (!exchange.waiting()) co_return;
  const Error error{ErrorCode::kInternal, RunState::kUnknown,
                    "the request handler ended without a response", Duration{0}};
  HttpResponse response = ErrorResponse(error);
  co_await exchange.Respond(std::move(response));
}

HttpServer::HttpServer(asio::io_context& io, HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_shared<Impl>(io, std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Start() {
  impl_->Listen();
  Spawn(impl_->io, "http_accept", [impl = impl_]() { return impl->AcceptLoop(); });
}

Awaitable<void> HttpServer::Drain() {
  const std::shared_ptr<Impl> impl = impl_;
  impl->draining = true;
  impl->CloseAcceptor();
  co_await SleepFor(kDrainFirstBytes);
  // Lets connections whose request has been read leave the set of idle ones.
  co_await asio::post(impl->io, asio::use_awaitable);
  for (const Impl::IdleConnection& connection : impl->idle) {
    HttpTransport* const transport = connection.transport;
    if (transport != nullptr && !transport->HasUnexpectedInput()) transport->Close();
  }
  while (impl->active > 0 || !impl->idle.empty()) co_await SleepFor(kDrainPollInterval);
}

int64_t HttpServer::active_requests() const { return impl_->active; }

int64_t HttpServer::connections() const { return impl_->connections; }

const UploadBudget& HttpServer::uploads() const { return impl_->uploads; }

void HttpServer::SetCallerLimits(int64_t max_header_bytes, int64_t max_body_bytes,
                                 Duration read_timeout, Duration idle_timeout) {
  impl_->options.max_header_bytes = max_header_bytes;
  impl_->options.max_body_bytes = max_body_bytes;
  impl_->options.read_timeout = read_timeout;
  impl_->options.idle_timeout = idle_timeout;
}

}  // namespace fuchsiaweir
