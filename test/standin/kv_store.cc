#include "kv_store.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <map>
#include <string>
#include <utility>

#include "core/block_arena.h"
#include "core/json_fields.h"
#include "standin_server.h"

namespace fuchsiaweir::standin {
namespace {

namespace json = boost::json;

constexpr char kBlocksPath[] = "/v1/blocks/";
/// Content of a block whose slot was reused.
constexpr char kOverwriteByte = 'x';

struct Faults {
  bool down = false;
  bool silent = false;
  bool full = false;
  bool die_after_reserve = false;
  int64_t bytes_per_second = 0;
  int64_t free_during_read = 0;
  int64_t reuse_during_read = 0;
  int64_t corrupt = 0;
};

struct Stats {
  int64_t reserves = 0;
  int64_t refused = 0;
  int64_t seals = 0;
  int64_t lookups = 0;
  int64_t first_ranges = 0;
  int64_t disk_reads = 0;
  int64_t frees = 0;
};

struct Entry {
  BlockHeader header;
  std::string bytes;
};

class KvStore {
 public:
  explicit KvStore(const KvStoreOptions& options) : options_(options) {}

  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  Awaitable<void> SetFault(HttpExchange& exchange);
  Awaitable<void> SendStats(HttpExchange& exchange);
  Awaitable<void> HandleLookup(HttpExchange& exchange);
  Awaitable<void> HandleBlock(HttpExchange& exchange);
  Awaitable<void> Read(HttpExchange& exchange, const std::string& id);
  Awaitable<void> ThrottleTransfer(int64_t bytes);

  HttpResponse Reserve(const std::string& id, const HttpHeaders& headers);
  int Write(Entry* entry, int64_t offset, const std::string& bytes);
  int Seal(Entry* entry, const HttpHeaders& headers);
  void ApplyFaultsAfterRead(const std::string& id);
  Entry* Find(const std::string& id);

  KvStoreOptions options_;
  Faults faults_;
  Stats stats_;
  uint64_t next_generation_ = 1;
  TimePoint link_free_at_{};
  std::map<std::string, Entry> blocks_;
};

uint64_t NumberHeader(const HttpHeaders& headers, const char* name) {
  uint64_t number = 0;
  return absl::SimpleAtoi(HeaderValue(headers, name), &number) ? number : 0;
}

std::string StateName(const BlockHeader& header) {
  return header.state == BlockState::kSealed ? "sealed" : "reserved";
}

json::value Describe(const std::string& id, const Entry* entry) {
  if (entry == nullptr) return nullptr;
  const BlockHeader& header = entry->header;
  return json::object{{"block", id},
                      {"length", absl::StrCat(header.length)},
                      {"checksum", absl::StrCat(absl::Hex(header.checksum))},
                      {"generation", absl::StrCat(header.generation)},
                      {"state", StateName(header)}};
}

HttpResponse RangeResponse(const std::string& id, const BlockHeader& header, std::string bytes) {
  return {200,
          {{"Content-Type", "application/octet-stream"},
           {"X-Kv-Block", id},
           {"X-Kv-Length", absl::StrCat(header.length)},
           {"X-Kv-Checksum", absl::StrCat(absl::Hex(header.checksum))},
           {"X-Kv-Generation", absl::StrCat(header.generation)},
           {"X-Kv-State", StateName(header)}},
          std::move(bytes)};
}

Entry* KvStore::Find(const std::string& id) {
  const auto found = blocks_.find(id);
  return found == blocks_.end() ? nullptr : &found->second;
}

Awaitable<void> KvStore::Handle(HttpExchange& exchange) {
  const std::string path = exchange.target().path;
  if (path == "/fault") co_return co_await SetFault(exchange);
  if (path == "/stats") co_return co_await SendStats(exchange);
  if (faults_.down) co_return exchange.Abort();
  while (faults_.silent) co_await SleepFor(Millis(20));
  if (path == "/v1/lookup") co_return co_await HandleLookup(exchange);
  if (absl::StartsWith(path, kBlocksPath)) co_return co_await HandleBlock(exchange);
  co_await SendJson(exchange, 404, R"({"error":"no such route"})");
}

Awaitable<void> KvStore::SetFault(HttpExchange& exchange) {
  const json::object body = ParseJsonObject(exchange.request().body);
  const std::pair<const char*, bool*> switches[] = {
      {"down", &faults_.down},
      {"silent", &faults_.silent},
      {"full", &faults_.full},
      {"die_after_reserve", &faults_.die_after_reserve}};
  const std::pair<const char*, int64_t*> numbers[] = {
      {"bytes_per_second", &faults_.bytes_per_second},
      {"free_during_read", &faults_.free_during_read},
      {"reuse_during_read", &faults_.reuse_during_read},
      {"corrupt", &faults_.corrupt}};
  for (const auto& [name, value] : switches) {
    if (body.contains(name)) *value = BooleanField(body, name);
  }
  for (const auto& [name, value] : numbers) {
    if (body.contains(name)) *value = IntegerField(body, name);
  }
  if (body.contains("empty")) blocks_.clear();
  co_await SendJson(exchange, 200, "{}");
}

std::string EncodeStats(const Stats& stats, size_t blocks) {
  return json::serialize(json::object{{"blocks", blocks},
                                      {"reserves", stats.reserves},
                                      {"refused", stats.refused},
                                      {"seals", stats.seals},
                                      {"lookups", stats.lookups},
                                      {"first_ranges", stats.first_ranges},
                                      {"disk_reads", stats.disk_reads},
                                      {"frees", stats.frees}});
}

Awaitable<void> KvStore::SendStats(HttpExchange& exchange) {
  co_await SendJson(exchange, 200, EncodeStats(stats_, blocks_.size()));
}

// Transfers are serialized, as they share the link.
Awaitable<void> KvStore::ThrottleTransfer(int64_t bytes) {
  if (faults_.bytes_per_second <= 0) co_return;
  const Duration needed = Micros(bytes * 1'000'000 / faults_.bytes_per_second);
  link_free_at_ = std::max(link_free_at_, SteadyNow()) + needed;
  co_await SleepFor(link_free_at_ - SteadyNow());
}

Awaitable<void> KvStore::HandleLookup(HttpExchange& exchange) {
  ++stats_.lookups;
  json::array entries;
  for (const std::string& id :
       StringListField(ParseJsonObject(exchange.request().body), "blocks")) {
    entries.push_back(Describe(id, Find(id)));
  }
  json::object body;
  body["blocks"] = std::move(entries);
  co_await SendJson(exchange, 200, json::serialize(body));
}

HttpResponse KvStore::Reserve(const std::string& id, const HttpHeaders& headers) {
  ++stats_.reserves;
  const bool full = static_cast<int64_t>(blocks_.size()) >= options_.capacity_blocks;
  const std::optional<BlockId> block = BlockIdFromHex(id);
  if (!block) return JsonResponse(400, "{}");
  if (blocks_.contains(id)) return JsonResponse(409, "{}");
  if (full || faults_.full) {
    ++stats_.refused;
    return JsonResponse(507, "{}");
  }
  const uint64_t generation = next_generation_++;
  const auto length = static_cast<int64_t>(NumberHeader(headers, "X-Kv-Length"));
  blocks_[id].header = {*block, length, 0, generation, BlockState::kReserved};
  HttpResponse response = JsonResponse(200, "{}");
  response.headers.emplace_back("X-Kv-Generation", absl::StrCat(generation));
  return response;
}

int KvStore::Write(Entry* entry, int64_t offset, const std::string& bytes) {
  if (faults_.die_after_reserve) std::_Exit(1);
  const auto written = static_cast<int64_t>(entry->bytes.size());
  const auto size = static_cast<int64_t>(bytes.size());
  if (offset != written || written + size > entry->header.length) return 400;
  entry->bytes += bytes;
  return 200;
}

int KvStore::Seal(Entry* entry, const HttpHeaders& headers) {
  uint64_t checksum = 0;
  if (!absl::SimpleHexAtoi(HeaderValue(headers, "X-Kv-Checksum"), &checksum)) return 400;
  entry->header.checksum = checksum;
  entry->header.state = BlockState::kSealed;
  if (VerifyBlock(entry->header, entry->header.id, entry->bytes) != BlockFault::kNone) {
    entry->header.state = BlockState::kReserved;
    return 400;
  }
  ++stats_.seals;
  return 200;
}

Awaitable<void> KvStore::HandleBlock(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  std::string id = exchange.target().path.substr(std::string(kBlocksPath).size());
  const std::string action = id.find('/') == std::string::npos ? "" : id.substr(id.find('/'));
  id.resize(id.size() - action.size());
  if (request.method == "GET") co_return co_await Read(exchange, id);
  if (action == "/reserve") {
    HttpResponse response = Reserve(id, request.headers);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  co_await ThrottleTransfer(static_cast<int64_t>(request.body.size()));
  Entry* entry = Find(id);
  int status = 404;
  if (entry != nullptr &&
      entry->header.generation == NumberHeader(request.headers, "X-Kv-Generation")) {
    if (request.method == "PUT") {
      status = Write(entry, exchange.target().QueryInteger("offset", 0), request.body);
    } else if (action == "/seal") {
      status = Seal(entry, request.headers);
    } else if (request.method == "DELETE") {
      ++stats_.frees;
      blocks_.erase(id);
      status = 200;
    }
  }
  co_await SendJson(exchange, status, "{}");
}

Awaitable<void> KvStore::Read(HttpExchange& exchange, const std::string& id) {
  const int64_t offset = exchange.target().QueryInteger("offset", 0);
  const int64_t size = exchange.target().QueryInteger("size", 0);
  if (Find(id) == nullptr) co_return co_await SendJson(exchange, 404, "{}");
  const bool on_disk = Find(id)->header.generation + options_.memory_blocks < next_generation_;
  if (on_disk && size > 0) {
    ++stats_.disk_reads;
    co_await SleepFor(Millis(options_.disk_delay_ms));
  }
  co_await ThrottleTransfer(size);
  const Entry* entry = Find(id);
  if (entry == nullptr) co_return co_await SendJson(exchange, 404, "{}");
  const bool in_range = offset >= 0 && offset < static_cast<int64_t>(entry->bytes.size());
  std::string bytes = in_range && size > 0 ? entry->bytes.substr(offset, size) : std::string();
  const bool first_range = offset == 0 && !bytes.empty();
  if (first_range && faults_.corrupt > 0) {
    --faults_.corrupt;
    bytes.back() ^= 1;
  }
  HttpResponse response = RangeResponse(id, entry->header, std::move(bytes));
  if (first_range) ApplyFaultsAfterRead(id);
  co_await exchange.Respond(std::move(response));
}

void KvStore::ApplyFaultsAfterRead(const std::string& id) {
  ++stats_.first_ranges;
  if (faults_.free_during_read > 0) {
    --faults_.free_during_read;
    blocks_.erase(id);
  } else if (faults_.reuse_during_read > 0) {
    --faults_.reuse_during_read;
    Entry& entry = blocks_[id];
    entry.bytes.assign(entry.bytes.size(), kOverwriteByte);
    entry.header.checksum = BlockChecksum(entry.header.id, entry.bytes);
    entry.header.generation = next_generation_++;
  }
}

}  // namespace

void RunKvStore(const KvStoreOptions& options) {
  boost::asio::io_context io(1);
  KvStore store(options);
  Serve(io, options.port, [&store](HttpExchange& exchange) { return store.Handle(exchange); });
}

}  // namespace fuchsiaweir::standin
