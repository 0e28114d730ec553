#include "platform.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "core/json_fields.h"
#include "net/notifier.h"
#include "standin_server.h"

namespace fuchsiaweir::standin {
namespace {

namespace json = boost::json;

constexpr size_t kMaxValueBytes = 1'000'000;
constexpr char kObjects[] = "/objects/";
/// Weight loads that run at full speed at the same time; more slow each other down.
constexpr int kMaxFullSpeedLoads = 2;
constexpr Duration kWeightLoadDuration = Millis(1'500);

struct Object {
  int64_t version = 0;
  std::string value;
  int64_t previous_version = 0;
  std::string previous_value;
};

struct Faults {
  bool down = false;
  bool stale = false;
  bool stale_watches = false;
  int64_t delay_ms = 0;
  int64_t lose_answers = 0;
  int64_t writes_per_second = 1'000'000;
  int64_t reads_per_second = 1'000'000;
};

constexpr std::pair<const char*, int64_t Faults::*> kNumericFaults[] = {
    {"delay_ms", &Faults::delay_ms},
    {"lose_answers", &Faults::lose_answers},
    {"writes_per_second", &Faults::writes_per_second},
    {"reads_per_second", &Faults::reads_per_second}};

struct Stats {
  int64_t calls = 0;  ///< Calls of every kind, including those refused or made while it is down.
  int64_t reads = 0;
  int64_t writes = 0;
  int64_t watches = 0;
  int64_t host_reads = 0;
  int64_t hosts_sent = 0;  ///< Host reads that returned the list rather than 304.
  int64_t waiting = 0;     ///< Watches in progress.
  int64_t conflicts = 0;
  int64_t refused = 0;
  int64_t weight_loads = 0;
  int64_t max_concurrent_loads = 0;
};

/// Limits the calls in each second of the clock.
class RateLimiter {
 public:
  /// Counts a call. Returns whether it is within the limit.
  bool TryConsume(int64_t per_second) {
    const int64_t second = SteadyNow().time_since_epoch() / Seconds(1);
    if (second != second_) count_ = 0;
    second_ = second;
    return ++count_ <= per_second;
  }

 private:
  int64_t second_ = 0;
  int64_t count_ = 0;
};

class Platform {
 public:
  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  Awaitable<void> SetFault(HttpExchange& exchange);
  Awaitable<void> SendStats(HttpExchange& exchange);
  Awaitable<void> Get(HttpExchange& exchange, std::string key);
  Awaitable<void> Put(HttpExchange& exchange, std::string key);
  Awaitable<void> WaitForVersion(std::string key, int64_t after, Duration wait);
  Awaitable<void> HandleHosts(HttpExchange& exchange);
  Awaitable<void> SendHosts(HttpExchange& exchange);
  Awaitable<void> LoadWeights(HttpExchange& exchange);

  std::map<std::string, Object> objects_;
  std::string hosts_ = R"({"hosts":[]})";
  Faults faults_;
  Stats stats_;
  RateLimiter read_limiter_;
  RateLimiter write_limiter_;
  int loads_ = 0;
  Notifier changed_;
};

Awaitable<void> Platform::Handle(HttpExchange& exchange) {
  const std::string path = exchange.target().path;
  const std::string method = exchange.request().method;
  if (path == "/fault") co_return co_await SetFault(exchange);
  if (path == "/stats") co_return co_await SendStats(exchange);
  ++stats_.calls;
  if (faults_.delay_ms > 0) co_await SleepFor(Millis(faults_.delay_ms));
  if (faults_.down) co_return co_await SendJson(exchange, 503, R"({"error":"down"})");
  if (path == "/hosts") co_return co_await HandleHosts(exchange);
  if (absl::StartsWith(path, "/weights/")) co_return co_await LoadWeights(exchange);
  if (!absl::StartsWith(path, kObjects)) {
    co_return co_await SendJson(exchange, 404, R"({"error":"no such route"})");
  }
  std::string key = path.substr(sizeof(kObjects) - 1);
  if (method == "PUT") co_return co_await Put(exchange, std::move(key));
  co_await Get(exchange, std::move(key));
}

Awaitable<void> Platform::SetFault(HttpExchange& exchange) {
  const json::object body = ParseJsonObject(exchange.request().body);
  if (body.contains("down")) faults_.down = BooleanField(body, "down");
  if (body.contains("stale")) faults_.stale = BooleanField(body, "stale");
  if (body.contains("stale_watches")) faults_.stale_watches = BooleanField(body, "stale_watches");
  for (const auto& [name, member] : kNumericFaults) {
    if (body.contains(name)) faults_.*member = IntegerField(body, name);
  }
  changed_.NotifyAll();  // Watches end when the platform goes down.
  co_await SendJson(exchange, 200, "{}");
}

Awaitable<void> Platform::SendStats(HttpExchange& exchange) {
  const json::object body{{"calls", stats_.calls},
                          {"reads", stats_.reads},
                          {"writes", stats_.writes},
                          {"watches", stats_.watches},
                          {"waiting", stats_.waiting},
                          {"hosts_sent", stats_.hosts_sent},
                          {"host_reads", stats_.host_reads},
                          {"conflicts", stats_.conflicts},
                          {"refused", stats_.refused},
                          {"weight_loads", stats_.weight_loads},
                          {"max_concurrent_loads", stats_.max_concurrent_loads}};
  co_await SendJson(exchange, 200, json::serialize(body));
}

Awaitable<void> Platform::WaitForVersion(std::string key, int64_t after, Duration wait) {
  const TimePoint end = SteadyNow() + wait;
  while (objects_[key].version <= after && SteadyNow() < end && !faults_.down) {
    co_await changed_.WaitUntil(end);
  }
}

Awaitable<void> SendNotModified(HttpExchange& exchange) {
  HttpResponse response{304, {}, ""};
  co_await exchange.Respond(std::move(response));
}

std::string RenderObject(const Object& object, bool stale) {
  const json::object body{{"version", stale ? object.previous_version : object.version},
                          {"value", stale ? object.previous_value : object.value}};
  return json::serialize(body);
}

Awaitable<void> Platform::Get(HttpExchange& exchange, std::string key) {
  if (!read_limiter_.TryConsume(faults_.reads_per_second)) {
    ++stats_.refused;
    co_return co_await SendJson(exchange, 429, R"({"error":"too many reads"})");
  }
  const int64_t wait_ms = exchange.target().QueryInteger("wait_ms", 0);
  ++(wait_ms > 0 ? stats_.watches : stats_.reads);
  const int64_t after = exchange.target().QueryInteger("after", 0);
  ++stats_.waiting;
  if (wait_ms > 0) co_await WaitForVersion(key, after, Millis(wait_ms));
  --stats_.waiting;
  if (faults_.down) co_return co_await SendJson(exchange, 503, R"({"error":"down"})");
  const Object& object = objects_[key];
  const bool stale_read = faults_.stale || (faults_.stale_watches && wait_ms > 0);
  const bool stale = stale_read && object.previous_version > 0;
  if (object.version == 0) co_return co_await SendJson(exchange, 404, R"({"error":"not found"})");
  if (wait_ms > 0 && object.version <= after) co_return co_await SendNotModified(exchange);
  co_await SendJson(exchange, 200, RenderObject(object, stale));
}

std::string RenderVersion(int64_t version) {
  return json::serialize(json::object{{"version", version}});
}

Awaitable<void> Platform::Put(HttpExchange& exchange, std::string key) {
  if (!write_limiter_.TryConsume(faults_.writes_per_second)) {
    ++stats_.refused;
    co_return co_await SendJson(exchange, 429, R"({"error":"too many writes"})");
  }
  ++stats_.writes;
  Object& object = objects_[key];
  if (exchange.request().body.size() > kMaxValueBytes) {
    co_return co_await SendJson(exchange, 413, R"({"error":"value too large"})");
  }
  if (exchange.target().QueryInteger("expect", 0) != object.version) {
    ++stats_.conflicts;
    co_return co_await SendJson(exchange, 409, RenderVersion(object.version));
  }
  object.previous_version = object.version;
  object.previous_value = std::move(object.value);
  object.value = exchange.request().body;
  ++object.version;
  changed_.NotifyAll();
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    co_return co_await DropResponse(exchange);
  }
  co_await SendJson(exchange, 200, RenderVersion(object.version));
}

Awaitable<void> Platform::SendHosts(HttpExchange& exchange) {
  ++stats_.host_reads;
  const std::string tag = absl::StrCat("\"", std::hash<std::string>{}(hosts_), "\"");
  HttpResponse response = JsonResponse(200, hosts_);
  const bool unchanged = HeaderValue(exchange.request().headers, "If-None-Match") == tag;
  if (unchanged) response = {304, {}, ""};
  if (!unchanged) ++stats_.hosts_sent;
  response.headers.emplace_back("ETag", tag);
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> Platform::HandleHosts(HttpExchange& exchange) {
  if (exchange.request().method != "PUT") co_return co_await SendHosts(exchange);
  std::string hosts = exchange.request().body;
  co_await SleepFor(Millis(exchange.target().QueryInteger("lag_ms", 0)));
  hosts_ = std::move(hosts);
  co_await SendJson(exchange, 200, "{}");
}

Awaitable<void> Platform::LoadWeights(HttpExchange& exchange) {
  ++stats_.weight_loads;
  ++loads_;
  stats_.max_concurrent_loads = std::max<int64_t>(stats_.max_concurrent_loads, loads_);
  const int slowdown = std::max(1, loads_ - kMaxFullSpeedLoads + 1);
  co_await SleepFor(kWeightLoadDuration * slowdown);
  --loads_;
  co_await SendJson(exchange, 200, "{}");
}

}  // namespace

void RunPlatform(int port) {
  boost::asio::io_context io(1);
  Platform platform;
  Serve(io, port, [&platform](HttpExchange& exchange) { return platform.Handle(exchange); });
}

}  // namespace fuchsiaweir::standin
