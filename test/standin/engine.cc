#include "engine.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/json_fields.h"
#include "net/http_client.h"
#include "standin_server.h"

namespace fuchsiaweir::standin {
namespace {

namespace json = boost::json;

constexpr size_t kBlockTokens = 2'000;
constexpr Duration kWeightLoadTimeout = Seconds(60);

struct Faults {
  std::string crash_on;
  bool silent = false;
  int64_t cut_after = -1;
  int64_t drop_events = 0;
};

struct Stats {
  int64_t started = 0;
  int64_t completed = 0;
  int64_t cancelled = 0;
  int64_t cold_overloads = 0;  ///< Runs started beyond the limit of a cold engine.
  int64_t max_running = 0;
  int64_t max_running_cold = 0;
  int64_t orders = 0;
  int64_t refused_orders = 0;
  int64_t imports = 0;
  int64_t exports = 0;
  int64_t bad_imports = 0;  ///< Imports whose bytes differ from the block's content.
};

/// Blocks in accelerator memory; evicts the least recently used ones.
class PrefixCache {
 public:
  explicit PrefixCache(int64_t capacity) : capacity_(capacity) {}

  bool Contains(const std::string& block) const { return entries_.contains(block); }

  /// Adds a block or marks it as used, and returns the blocks evicted for it.
  std::vector<std::string> Insert(const std::string& block) {
    const auto found = entries_.find(block);
    if (found != entries_.end()) order_.erase(found->second);
    order_.push_back(block);
    entries_[block] = std::prev(order_.end());
    std::vector<std::string> evicted;
    while (static_cast<int64_t>(order_.size()) > capacity_) {
      evicted.push_back(order_.front());
      entries_.erase(order_.front());
      order_.pop_front();
    }
    return evicted;
  }

  void Clear() {
    order_.clear();
    entries_.clear();
  }

 private:
  int64_t capacity_;
  std::list<std::string> order_;
  std::map<std::string, std::list<std::string>::iterator> entries_;
};

struct CacheEvent {
  TimePoint visible_at;
  bool added = false;
  std::string block;
};

struct Prompt {
  std::string run;
  std::vector<std::string> tokens;
  std::vector<std::string> blocks;
  int64_t block_tokens = 0;
  int64_t produced = 0;
  int64_t max_tokens = 0;
};

class Engine {
 public:
  Engine(boost::asio::io_context& io, const EngineOptions& options)
      : options_(options),
        client_(io),
        cache_(options.cache_blocks),
        version_(options.version),
        instance_(absl::StrCat(getpid())) {}

  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  Awaitable<void> SetFault(HttpExchange& exchange);
  Awaitable<void> Generate(HttpExchange& exchange);
  Awaitable<void> Stream(HttpExchange& exchange, Prompt prompt);
  Awaitable<void> Prefill(int64_t tokens);
  Awaitable<void> Cancel(HttpExchange& exchange);
  Awaitable<void> SendLoad(HttpExchange& exchange);
  Awaitable<void> SendEvents(HttpExchange& exchange);
  Awaitable<void> HandleKv(HttpExchange& exchange);
  Awaitable<void> HandleOrder(HttpExchange& exchange);
  Awaitable<void> SendStats(HttpExchange& exchange);

  bool cold() const { return completed_since_cold_ < options_.warm_up_runs; }
  int64_t CachedTokens(const Prompt& prompt) const;
  void Insert(const std::string& block);
  void Publish(bool added, const std::string& block);
  void ResetToCold();

  EngineOptions options_;
  HttpClient client_;
  PrefixCache cache_;
  Faults faults_;
  Stats stats_;
  std::string version_;
  std::string instance_;
  int64_t restarts_ = 0;
  int64_t completed_since_cold_ = 0;
  int64_t fence_ = 0;
  int64_t running_ = 0;
  int64_t waiting_ = 0;
  int64_t generation_ = 0;  ///< Incremented to abort all running streams.
  TimePoint prefill_free_at_{};
  std::set<std::string> cancelled_;
  std::deque<CacheEvent> events_;
};

std::string OutputToken(uint64_t prompt_digest, int64_t index) {
  const std::string seed = absl::StrCat(prompt_digest, "/", index);
  return absl::StrCat(" t", XXH3_64bits(seed.data(), seed.size()) % 100'000);
}

Prompt DecodePrompt(const std::string& body) {
  const json::object object = ParseJsonObject(body);
  Prompt prompt;
  prompt.run = StringField(object, "run");
  prompt.tokens = StringListField(object, "prompt");
  prompt.blocks = StringListField(object, "blocks");
  prompt.block_tokens = IntegerField(object, "block_tokens");
  prompt.produced = static_cast<int64_t>(object.at("produced").as_array().size());
  prompt.max_tokens = IntegerField(object, "max_tokens");
  return prompt;
}

Awaitable<void> Engine::Handle(HttpExchange& exchange) {
  const std::string path = exchange.target().path;
  if (path == "/fault") co_return co_await SetFault(exchange);
  if (path == "/stats") co_return co_await SendStats(exchange);
  if (path == "/v1/generate") co_return co_await Generate(exchange);
  if (path == "/v1/cancel") co_return co_await Cancel(exchange);
  if (path == "/v1/load") co_return co_await SendLoad(exchange);
  if (path == "/v1/cache-events") co_return co_await SendEvents(exchange);
  if (path == "/v1/orders") co_return co_await HandleOrder(exchange);
  if (absl::StartsWith(path, "/v1/kv/")) co_return co_await HandleKv(exchange);
  co_await SendJson(exchange, 404, R"({"error":"no such route"})");
}

Awaitable<void> Engine::SetFault(HttpExchange& exchange) {
  const json::object body = ParseJsonObject(exchange.request().body);
  if (body.contains("crash")) std::_Exit(1);
  if (body.contains("crash_on")) faults_.crash_on = StringField(body, "crash_on");
  if (body.contains("silent")) faults_.silent = BooleanField(body, "silent");
  if (body.contains("cut_after")) faults_.cut_after = IntegerField(body, "cut_after");
  if (body.contains("drop_events")) faults_.drop_events = IntegerField(body, "drop_events");
  if (body.contains("cold")) ResetToCold();
  co_await SendJson(exchange, 200, "{}");
}

void Engine::ResetToCold() {
  completed_since_cold_ = 0;
  ++restarts_;
  cache_.Clear();
}

int64_t Engine::CachedTokens(const Prompt& prompt) const {
  int64_t cached = 0;
  for (const std::string& block : prompt.blocks) {
    if (!cache_.Contains(block)) break;
    cached += prompt.block_tokens;
  }
  return cached;
}

void Engine::Publish(bool added, const std::string& block) {
  if (faults_.drop_events > 0) {
    --faults_.drop_events;
    events_.push_back({SteadyNow() + Millis(options_.event_lag_ms), added, ""});
    return;
  }
  events_.push_back({SteadyNow() + Millis(options_.event_lag_ms), added, block});
}

void Engine::Insert(const std::string& block) {
  const bool cached = cache_.Contains(block);
  for (const std::string& evicted : cache_.Insert(block)) Publish(false, evicted);
  if (!cached) Publish(true, block);
}

Awaitable<void> Engine::Generate(HttpExchange& exchange) {
  Prompt prompt = DecodePrompt(exchange.request().body);
  if (!faults_.crash_on.empty() &&
      absl::StrContains(absl::StrJoin(prompt.tokens, ""), faults_.crash_on)) {
    std::_Exit(1);
  }
  ++stats_.started;
  ++running_;
  stats_.max_running = std::max(stats_.max_running, running_);
  if (cold()) stats_.max_running_cold = std::max(stats_.max_running_cold, running_);
  if (cold() && running_ > options_.cold_limit) {
    ++stats_.cold_overloads;
    ++generation_;  // A cold engine that is overloaded aborts all its runs.
  }
  co_await Stream(exchange, std::move(prompt));
  --running_;
}

Awaitable<void> Engine::Prefill(int64_t tokens) {
  // Prefills are serialized, as they share the accelerator.
  const Duration needed = Micros(tokens * 1'000'000 / options_.prefill_tokens_per_second);
  prefill_free_at_ = std::max(prefill_free_at_, SteadyNow()) + needed;
  ++waiting_;
  co_await SleepFor(prefill_free_at_ - SteadyNow());
  --waiting_;
}

Awaitable<void> Engine::Stream(HttpExchange& exchange, Prompt prompt) {
  const int64_t generation = generation_;
  HttpHeaders headers{{"Content-Type", "application/x-ndjson"}};
  co_await exchange.BeginStream(200, std::move(headers));
  const int64_t cached = CachedTokens(prompt);
  co_await Prefill(static_cast<int64_t>(prompt.tokens.size()) - cached + prompt.produced);
  for (const std::string& block : prompt.blocks) Insert(block);

  const std::string text = absl::StrJoin(prompt.tokens, "");
  const uint64_t digest = XXH3_64bits(text.data(), text.size());
  for (int64_t index = prompt.produced; index < prompt.max_tokens; ++index) {
    // Runs beyond the batch size take turns, which multiplies the time per token.
    const int64_t slowdown = 1 + (running_ - 1) / options_.max_concurrent;
    co_await SleepFor(Micros(options_.token_micros * slowdown));
    const bool cut = faults_.cut_after >= 0 && index - prompt.produced >= faults_.cut_after;
    if (cut || generation != generation_) co_return exchange.Abort();
    while (faults_.silent) co_await SleepFor(Millis(20));
    if (cancelled_.erase(prompt.run) > 0 || exchange.peer_closed()) {
      ++stats_.cancelled;
      co_return exchange.Abort();
    }
    const json::object event{{"offset", index},
                             {"tokens", json::array{OutputToken(digest, index)}}};
    co_await exchange.WriteChunk(json::serialize(event) + "\n");
  }
  ++stats_.completed;
  ++completed_since_cold_;
  const json::object done{{"done", true}, {"finish", "length"}, {"cached_tokens", cached}};
  co_await exchange.WriteChunk(json::serialize(done) + "\n");
  co_await exchange.EndStream();
}

Awaitable<void> Engine::Cancel(HttpExchange& exchange) {
  cancelled_.insert(StringField(ParseJsonObject(exchange.request().body), "run"));
  co_await SendJson(exchange, 200, "{}");
}

Awaitable<void> Engine::SendLoad(HttpExchange& exchange) {
  const json::object body{{"instance", absl::StrCat(instance_, ".", restarts_)},
                          {"model", options_.model},
                          {"version", version_},
                          {"running", running_ - waiting_},
                          {"waiting", waiting_}};
  std::string delayed = json::serialize(body);
  co_await SleepFor(Millis(options_.event_lag_ms));
  co_await SendJson(exchange, 200, std::move(delayed));
}

Awaitable<void> Engine::SendEvents(HttpExchange& exchange) {
  const int64_t after = exchange.target().QueryInteger("after", 0);
  json::array added;
  json::array evicted;
  bool gap = false;
  const auto size = static_cast<int64_t>(events_.size());
  if (after > size) gap = true;  // The position is from before a restart of this process.
  int64_t next = std::min(after, size);
  const TimePoint now = SteadyNow();
  while (next < size && events_[next].visible_at <= now) {
    const CacheEvent& event = events_[next];
    gap = gap || event.block.empty();
    if (!event.block.empty()) (event.added ? added : evicted).emplace_back(event.block);
    ++next;
  }
  const json::object body{{"next", next}, {"gap", gap}, {"added", added}, {"evicted", evicted}};
  co_await SendJson(exchange, 200, json::serialize(body));
}

Awaitable<void> Engine::HandleKv(HttpExchange& exchange) {
  const std::string block = exchange.target().path.substr(std::string("/v1/kv/").size());
  // The content depends only on the block, so that an import can be checked.
  const size_t size = static_cast<size_t>(options_.kv_bytes_per_token) * kBlockTokens;
  std::string bytes;
  while (bytes.size() < size) bytes += block;
  bytes.resize(size);
  if (exchange.request().method == "PUT") {
    ++stats_.imports;
    if (exchange.request().body != bytes) ++stats_.bad_imports;
    Insert(block);
    co_return co_await SendJson(exchange, 200, "{}");
  }
  ++stats_.exports;
  if (!cache_.Contains(block)) co_return co_await SendJson(exchange, 404, "{}");
  HttpResponse response{200, {{"Content-Type", "application/octet-stream"}}, std::move(bytes)};
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> Engine::HandleOrder(HttpExchange& exchange) {
  const json::object order = ParseJsonObject(exchange.request().body);
  const int64_t fence = IntegerField(order, "fence");
  if (options_.checks_fence && fence < fence_) {
    ++stats_.refused_orders;
    co_return co_await SendJson(exchange, 409, R"({"error":"old fencing number"})");
  }
  fence_ = std::max(fence_, fence);
  ++stats_.orders;
  std::string version = StringField(order, "version");
  if (!options_.platform.empty()) {
    HttpRequest load;
    load.target = absl::StrCat("/weights/", options_.model, "/", version);
    CallOptions call;
    call.timeout = kWeightLoadTimeout;
    co_await client_.Call(ParseEndpoint(options_.platform), std::move(load), call);
  }
  version_ = std::move(version);
  ResetToCold();
  co_await SendJson(exchange, 200, "{}");
}

Awaitable<void> Engine::SendStats(HttpExchange& exchange) {
  const json::object body{{"started", stats_.started},
                          {"completed", stats_.completed},
                          {"cancelled", stats_.cancelled},
                          {"cold_overloads", stats_.cold_overloads},
                          {"max_running", stats_.max_running},
                          {"max_running_cold", stats_.max_running_cold},
                          {"orders", stats_.orders},
                          {"refused_orders", stats_.refused_orders},
                          {"imports", stats_.imports},
                          {"exports", stats_.exports},
                          {"bad_imports", stats_.bad_imports},
                          {"version", version_},
                          {"cold", cold()}};
  co_await SendJson(exchange, 200, json::serialize(body));
}

}  // namespace

void RunEngine(const EngineOptions& options) {
  boost::asio::io_context io(1);
  Engine engine(io, options);
  Serve(io, options.port, [&engine](HttpExchange& exchange) { return engine.Handle(exchange); });
}

}  // namespace fuchsiaweir::standin
