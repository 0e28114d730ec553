#include "fleet_runner.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "client_ports.h"
#include "platform/names.h"
#include "standin_server.h"

namespace fuchsiaweir::standin {
namespace {

namespace json = boost::json;

constexpr char kModel[] = "model";
constexpr absl::string_view kEventsPrefix = "events=";
/// A body "work=MS;..." is answered after this number of milliseconds.
constexpr absl::string_view kWorkPrefix = "work=";
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirectedRequest = 421;
constexpr Duration kEventInterval = Millis(20);
constexpr Duration kWorkPollInterval = Millis(10);
constexpr Duration kTimeToCrash = Millis(50);
constexpr Duration kSilentPollInterval = Millis(50);
constexpr Duration kTimeToReadRaw = Millis(15);
constexpr Duration kWeightLoadDuration = Millis(300);
constexpr size_t kMaxArrivals = 5'000;
constexpr size_t kFloodPieceBytes = 65'536;

/// The first bytes of a response that does not end; the rest is 'x' repeated, or `unit`.
struct Flood {
  const char* name;
  const char* framing;  ///< Header fields that frame the body, and the blank line, or less.
  const char* unit = "x";
};

constexpr Flood kFloods[] = {
    {"head", "Field: "},
    {"interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"body", "\r\n"},
    {"chunk_extension", "Transfer-Encoding: chunked\r\n\r\n1;"},
    {"trailer", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nField: "},
    {"event", "Content-Type: text/event-stream\r\n\r\ndata: "},
    {"length", "Content-Length: 900000000000000\r\n\r\nx"}};

class FleetRunner {
 public:
  FleetRunner(boost::asio::io_context& io, const FleetRunnerOptions& options)
      : io_(io), options_(options), instance_(options.instance) {}

  Awaitable<void> Handle(HttpExchange& exchange) {
    const std::string path = exchange.target().path;
    std::string body;
    if (path == "/fault") {
      faults_ = json::parse(exchange.request().body).as_object();
      if (HasFault("silence_open_connections")) clients_.Silence();
      body = "{}";
    } else if (path == "/stats") {
      body = json::serialize(json::object{{"runs", runs_},
                                          {"cancelled", cancelled_},
                                          {"version", version_},
                                          {"fence", fence_},
                                          {"arrivals_ms", arrivals_ms_},
                                          {"headers", last_headers_}});
    } else if (path == platform::kReportPath) {
      while (HasFault("no_report")) co_await SleepFor(kSilentPollInterval);
      if (HasFault("flood_report")) co_return co_await SendFlood(exchange, "flood_report");
      body = Report();
    } else if (path == platform::kOrderPath) {
      co_return co_await HandleOrder(exchange);
    } else {
      co_return co_await Serve(exchange);
    }
    co_await SendJson(exchange, 200, std::move(body));
  }

 private:
  bool HasFault(const char* fault) const { return faults_.contains(fault); }

  /// Whether the fault is set and `text` contains its value.
  bool Contains(const std::string& text, const char* fault) const {
    return HasFault(fault) && absl::StrContains(text, std::string(faults_.at(fault).as_string()));
  }

  std::string Report() const {
    json::array models{{{"name", kModel}, {"version", version_}, {"adapters", json::array{}}}};
    return json::serialize(json::object{{"stage", "both"},
                                        {"models", models},
                                        {"busy", loading_},
                                        {"seq", orders_},
                                        {"queued", 0},
                                        {"active", active_},
                                        {"kv_used", active_ * 1000},
                                        {"kv_total", 100'000},
                                        {"born", options_.started_ms},
                                        {"runs", Progress()}});
  }

  /// Rows of runs that generate an event each `run_event_ms`, if that fault is set.
  json::array Progress() const {
    json::array rows;
    if (!HasFault("run_event_ms")) return rows;
    const int64_t events =
        ToMillis(SteadyNow().time_since_epoch()) / faults_.at("run_event_ms").to_number<int64_t>();
    for (const char* id : {"a", "b", "c", "d"}) rows.push_back(json::array{id, 100, events, 0});
    return rows;
  }

  Awaitable<void> HandleOrder(HttpExchange& exchange) {
    const json::object order = json::parse(exchange.request().body).as_object();
    const int64_t fence = order.at("fence").to_number<int64_t>();
    if (HasFault("check_fence") && fence < fence_) {
      std::string fenced = "{}";
      co_return co_await SendJson(exchange, kPreconditionFailed, std::move(fenced));
    }
    fence_ = std::max(fence_, fence);
    ++orders_;
    loading_ = true;
    const int64_t version = order.at("version").to_number<int64_t>();
    Spawn(io_, "load", [this, version]() -> Awaitable<void> {
      co_await SleepFor(kWeightLoadDuration);
      version_ = version;
      loading_ = false;
    });
    std::string body = "{}";
    co_await SendJson(exchange, 202, std::move(body));
  }

  HttpHeaders ResponseHeaders(const HttpRequest& request) const {
    HttpHeaders headers{
        {platform::kRequestIdHeader, HeaderValue(request.headers, platform::kRequestIdHeader)}};
    if (!HasFault("no_receipt")) {
      headers.emplace_back(platform::kReceiptHeader, "stamp-" + instance_);
    }
    if (HasFault("limit")) {
      headers.emplace_back(platform::kRequestLimitHeader, faults_.at("limit").as_string().c_str());
    }
    if (HasFault("leaving")) headers.emplace_back(platform::kLeavingHeader, "1");
    return headers;
  }

  Awaitable<void> Serve(HttpExchange& exchange) {
    arrivals_ms_.push_back(ToMillis(SteadyNow().time_since_epoch()));
    if (arrivals_ms_.size() > kMaxArrivals) arrivals_ms_.erase(arrivals_ms_.begin());
    clients_.OnRequest(exchange);
    while (clients_.IsSilent(exchange)) co_await SleepFor(kSilentPollInterval);
    const HttpRequest& request = exchange.request();
    const std::string expected = HeaderValue(request.headers, platform::kExpectInstanceHeader);
    const std::string version = HeaderValue(request.headers, platform::kExpectVersionHeader);
    HttpResponse response{200, ResponseHeaders(request), request.body};
    if ((!expected.empty() && expected != instance_) ||
        (!version.empty() && version != absl::StrCat(version_))) {
      response.status = kMisdirectedRequest;
      co_return static_cast<void>(co_await exchange.Respond(std::move(response)));
    }
    const uint16_t port = ClientPorts::PortOf(exchange);
    if (HasFault("full") || HasFault("pause") || loading_) {
      response.status = 503;
      if (HasFault("pause")) {
        response.headers.emplace_back(platform::kRetryAfterHeader,
                                      faults_.at("pause").as_string().c_str());
      }
      response.headers.emplace_back(platform::kNotRunHeader, "1");
      refusals_[port] = response;
      co_return static_cast<void>(co_await exchange.Respond(std::move(response)));
    }
    if (HasFault("repeat_refusal") && refusals_.count(port) > 0) {
      HttpExchange repeated(exchange.transport(), exchange.request(), Seconds(1));
      HttpResponse refusal = refusals_[port];
      co_await repeated.Respond(std::move(refusal));
    }
    if (Contains(HeaderValue(request.headers, platform::kPromptPartsHeader), "crash_part") ||
        Contains(request.body, "crash_text")) {
      co_await SleepFor(kTimeToCrash);
      std::_Exit(1);
    }
    ++runs_;
    ++active_;
    last_headers_.clear();
    for (const auto& [name, value] : request.headers) last_headers_[name] = value;
    const std::string id = HeaderValue(request.headers, platform::kRequestIdHeader);
    Record("begin", id, "run");
    co_await Run(exchange, std::move(response));
    const bool broken_off = broken_off_.erase(&exchange) > 0;
    Record("end", id, broken_off ? "broken" : exchange.answered() ? "complete" : "left");
    --active_;
  }

  /// Lets the time pass, unless the caller leaves.
  Awaitable<void> Work(HttpExchange& exchange, int64_t work_ms) {
    const TimePoint end = SteadyNow() + Millis(work_ms);
    while (SteadyNow() < end && !exchange.peer_closed()) {
      co_await SleepFor(std::min(kWorkPollInterval, end - SteadyNow()));
    }
  }

  /// Logs a step of a run with the steady clock's time in milliseconds, in one write, so that the
  /// line is whole or missing when the process is killed.
  void Record(const char* step, const std::string& id, const char* outcome) const {
    if (!options_.record_runs) return;
    const int64_t now_ms = ToMillis(SteadyNow().time_since_epoch());
    std::cout << absl::StrCat("run ", step, " ", id, " ", now_ms, " ", outcome, "\n") << std::flush;
  }

  /// Ends the connection within an answer, as a faulty runner does.
  void BreakOff(HttpExchange& exchange) {
    broken_off_.insert(&exchange);
    exchange.Abort();
  }

  /// Sends the first part of an answer: of its head, or the head and half of the body.
  Awaitable<void> SendPart(HttpExchange& exchange, const HttpResponse& response) {
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : response.headers) {
      absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    if (HasFault("cut_body")) {
      absl::StrAppend(&text, "Content-Length: ", response.body.size() + 2, "\r\n\r\n",
                      response.body.substr(0, response.body.size() / 2));
    }
    co_await exchange.transport().WriteAll(text);
    BreakOff(exchange);
  }

  Awaitable<void> Run(HttpExchange& exchange, HttpResponse response) {
    while (HasFault("silent") && !exchange.peer_closed()) co_await SleepFor(Millis(10));
    if (HasFault("work_ms")) co_await Work(exchange, faults_.at("work_ms").to_number<int64_t>());
    if (exchange.peer_closed()) ++cancelled_;
    if (HasFault("flood")) co_return co_await SendFlood(exchange, "flood");
    const std::string resume =
        HeaderValue(exchange.request().headers, platform::kResumeAfterHeader);
    if (HasFault("raw") && (!HasFault("raw_if_resumed") || !resume.empty())) {
      co_return co_await SendRaw(exchange);
    }
    int64_t work_ms = 0;
    const std::string& text = exchange.request().body;
    if (absl::StartsWith(text, kWorkPrefix) &&
        absl::SimpleAtoi(text.substr(kWorkPrefix.size(), text.find(';') - kWorkPrefix.size()),
                         &work_ms)) {
      co_await Work(exchange, work_ms);
    }
    if (HasFault("lose")) co_return BreakOff(exchange);
    if (exchange.peer_closed()) {
      exchange.Abort();
      co_return;
    }
    if (HasFault("cut_head") || HasFault("cut_body")) {
      co_return co_await SendPart(exchange, response);
    }
    if (HasFault("fail")) response.status = 500;
    if (HasFault("short_answer")) response.body = "done";
    if (HasFault("status")) response.status = faults_.at("status").to_number<int>();
    int64_t events = 0;
    const std::string& body = exchange.request().body;
    if (!absl::StartsWith(body, kEventsPrefix) ||
        !absl::SimpleAtoi(body.substr(kEventsPrefix.size()), &events)) {
      co_await exchange.Respond(std::move(response));
      if (HasFault("extra")) co_await SendExtraResponse(exchange);
      co_return;
    }
    if (HasFault("unframed")) {
      co_return co_await SendUnframed(exchange, std::move(response.headers), events);
    }
    if (HasFault("resumed") && !resume.empty()) {
      co_return co_await AnswerResumed(exchange, std::move(response));
    }
    HttpHeaders headers = response.headers;
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.BeginStream(200, std::move(headers));
    int64_t last_received = 0;
    if (!absl::SimpleAtoi(resume, &last_received)) last_received = 0;
    while (HasFault("trickle")) {
      std::string byte = "x";
      if (!co_await exchange.WriteChunk(std::move(byte)) || exchange.peer_closed()) co_return;
      co_await SleepFor(kSilentPollInterval);
    }
    const Duration interval = HasFault("event_interval_ms")
                                  ? Millis(faults_.at("event_interval_ms").to_number<int64_t>())
                                  : kEventInterval;
    for (int64_t id = last_received + 1; id <= events; ++id) {
      if (HasFault("cut_after") && id > faults_.at("cut_after").to_number<int64_t>()) {
        co_return BreakOff(exchange);
      }
      std::string event = absl::StrCat("id: ", id, "\ndata: token ", id, "\n\n");
      const bool written = co_await exchange.WriteChunk(std::move(event));
      if (!written || exchange.peer_closed()) {
        ++cancelled_;
        co_return;
      }
      co_await SleepFor(interval);
    }
    co_await exchange.EndStream();
  }

  /// Answers a request that resumes a stream with something else than the rest of the stream.
  Awaitable<void> AnswerResumed(HttpExchange& exchange, HttpResponse response) {
    const std::string kind(faults_.at("resumed").as_string());
    if (kind == "refusal") response.status = 400;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = kind == "empty" ? "" : "the model\n\nis not loaded\n\n";
    co_await exchange.Respond(std::move(response));
  }

  /// Sends the events with neither a length nor chunks. The fault's value is the last event that is
  /// complete; half of the one after it follows, and the connection ends.
  Awaitable<void> SendUnframed(HttpExchange& exchange, HttpHeaders headers, int64_t events) {
    const int64_t last = std::min(events, faults_.at("unframed").to_number<int64_t>());
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto& [name, value] : headers) absl::StrAppend(&text, name, ": ", value, "\r\n");
    text += "\r\n";
    for (int64_t id = 1; id <= last; ++id) {
      absl::StrAppend(&text, "id: ", id, "\ndata: token ", id, "\n\n");
    }
    if (last < events) absl::StrAppend(&text, "id: ", last + 1, "\nda");
    if (HasFault("second_head")) {
      text += "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed";
    }
    co_await exchange.transport().WriteAll(text);
    exchange.Abort();
  }

  /// Sends what the fault names until the gateway closes the connection.
  Awaitable<void> SendFlood(HttpExchange& exchange, const char* fault) {
    for (const Flood& flood : kFloods) {
      if (faults_.at(fault).as_string() != flood.name) continue;
      std::string text = "HTTP/1.1 200 OK\r\n";
      for (const auto& [name, value] : ResponseHeaders(exchange.request())) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
      }
      const bool interim = std::string_view(flood.name) == "interim";
      text = interim ? "" : text + flood.framing;
      const bool once = std::string_view(flood.name) == "length";
      std::string piece;
      while (piece.size() < kFloodPieceBytes) piece += flood.unit;
      bool open = !co_await exchange.transport().WriteAll(text);
      while (open && !once) {
        exchange.transport().ExpireAfter(Seconds(10));
        open = !co_await exchange.transport().WriteAll(piece);
      }
    }
    exchange.Abort();
  }

  /// Sends the bytes of the fault, with the fields of a response in place of "{head}", and closes
  /// or resets the connection.
  Awaitable<void> SendRaw(HttpExchange& exchange) {
    std::string fields;
    for (const auto& [name, value] : ResponseHeaders(exchange.request())) {
      absl::StrAppend(&fields, name, ": ", value, "\r\n");
    }
    const std::string text =
        absl::StrReplaceAll(std::string(faults_.at("raw").as_string()), {{"{head}", fields}});
    co_await exchange.transport().WriteAll(text);
    co_await SleepFor(kTimeToReadRaw);
    if (HasFault("reset")) {
      boost::system::error_code ignored;
      auto& socket = exchange.transport().tcp().socket();
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
    exchange.Abort();
  }

  /// Sends an unsolicited response on the same connection.
  Awaitable<void> SendExtraResponse(HttpExchange& exchange) {
    HttpExchange second(exchange.transport(), exchange.request(), Seconds(1));
    HttpResponse response{200, {{platform::kRequestIdHeader, "another"}}, "extra"};
    response.headers.emplace_back(platform::kReceiptHeader, "stamp-extra");
    co_await second.Respond(std::move(response));
  }

  boost::asio::io_context& io_;
  FleetRunnerOptions options_;
  std::string instance_;
  std::set<const HttpExchange*> broken_off_;
  json::object faults_;
  ClientPorts clients_;
  std::map<uint16_t, HttpResponse> refusals_;  ///< Last refusal on a connection, by its port.
  json::object last_headers_;
  json::array arrivals_ms_;
  int64_t runs_ = 0;
  int64_t active_ = 0;
  int64_t cancelled_ = 0;
  int64_t orders_ = 0;
  int64_t fence_ = 0;  ///< Highest fencing token of the orders that were carried out.
  int64_t version_ = 1;
  bool loading_ = false;
};

}  // namespace

void RunFleetRunner(const FleetRunnerOptions& options) {
  boost::asio::io_context io(1);
  FleetRunner runner(io, options);
  standin::Serve(io, options.port,
                 [&runner](HttpExchange& exchange) { return runner.Handle(exchange); });
}

}  // namespace fuchsiaweir::standin
