#include "net/kv_store_client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr char kIdField[] = "X-Kv-Block";
constexpr char kLengthField[] = "X-Kv-Length";
constexpr char kChecksumField[] = "X-Kv-Checksum";
constexpr char kGenerationField[] = "X-Kv-Generation";
constexpr char kStateField[] = "X-Kv-State";
constexpr int64_t kMaxResponseBytes =
    1'000'000;  ///< Maximum size of a response without block bytes.

std::string BlockPath(const BlockId& id) { return absl::StrCat("/v1/blocks/", ToHex(id)); }

std::string LookupBody(const std::vector<BlockId>& ids) {
  json::array blocks;
  for (const BlockId& id : ids) blocks.emplace_back(ToHex(id));
  json::object body;
  body["blocks"] = std::move(blocks);
  return json::serialize(body);
}

/// Returns a header with state kFree if a field is missing or malformed.
BlockHeader DecodeHeader(const std::string& id, const std::string& length,
                         const std::string& checksum, const std::string& generation,
                         const std::string& state) {
  BlockHeader header;
  const std::optional<BlockId> parsed = BlockIdFromHex(id);
  if (!parsed || !absl::SimpleAtoi(length, &header.length) ||
      !absl::SimpleHexAtoi(checksum, &header.checksum) ||
      !absl::SimpleAtoi(generation, &header.generation)) {
    return {};
  }
  header.id = *parsed;
  header.state = state == "sealed" ? BlockState::kSealed : BlockState::kReserved;
  return header;
}

std::string StringMember(const json::value& object, const char* name) {
  return std::string(object.at(name).as_string());
}

std::optional<BlockHeader> DecodeEntry(const json::value& entry) {
  if (entry.is_null()) return std::nullopt;
  return DecodeHeader(StringMember(entry, "block"), StringMember(entry, "length"),
                      StringMember(entry, "checksum"), StringMember(entry, "generation"),
                      StringMember(entry, "state"));
}

StoreRefusal RefusalOf(int status) {
  if (status == 507) return StoreRefusal::kFull;
  if (status == 409) return StoreRefusal::kPresent;
  if (status == 404) return StoreRefusal::kAbsent;
  return StoreRefusal::kOther;
}

StoreCall ToStoreCall(const HttpResult& result) {
  StoreCall call;
  call.failure = result.failure;
  if (result.ok()) {
    call.outcome = CallOutcome::kDone;
    const std::string generation = HeaderValue(result.response->headers, kGenerationField);
    if (!absl::SimpleAtoi(generation, &call.generation)) call.generation = 0;
  } else if (result.response) {
    call.refusal = RefusalOf(result.response->status);
    call.failure = absl::StrCat("store responded with status ", result.response->status);
  } else if (result.stage == CallStage::kSent) {
    call.outcome = CallOutcome::kUnknown;
  }
  return call;
}

class HttpKvStoreClient : public KvStoreClient {
 public:
  HttpKvStoreClient(HttpClient& client, Endpoint endpoint)
      : client_(client), endpoint_(std::move(endpoint)) {}

  Awaitable<StoreCall> Reserve(BlockId id, int64_t length, Duration timeout) override;
  Awaitable<StoreCall> Write(BlockId id, uint64_t generation, int64_t offset, std::string bytes,
                             Duration timeout) override;
  Awaitable<StoreCall> Seal(BlockHeader header, Duration timeout) override;
  Awaitable<StoreLookup> Lookup(std::vector<BlockId> ids, Duration timeout) override;
  Awaitable<StoreRange> Read(BlockId id, int64_t offset, int64_t size, Duration timeout) override;
  Awaitable<StoreCall> Free(BlockId id, uint64_t generation, Duration timeout) override;

 private:
  Awaitable<HttpResult> Call(HttpRequest request, Duration timeout, int64_t max_body = 0);

  HttpClient& client_;
  Endpoint endpoint_;
};

Awaitable<HttpResult> HttpKvStoreClient::Call(HttpRequest request, Duration timeout,
                                              int64_t max_body) {
  CallOptions options;
  options.timeout = timeout;
  options.max_body_bytes = max_body + kMaxResponseBytes;
  co_return co_await client_.Call(endpoint_, std::move(request), options);
}

Awaitable<StoreCall> HttpKvStoreClient::Reserve(BlockId id, int64_t length, Duration timeout) {
  HttpRequest request;
  request.method = "POST";
  request.target = BlockPath(id) + "/reserve";
  request.headers.emplace_back(kLengthField, absl::StrCat(length));
  const HttpResult result = co_await Call(std::move(request), timeout);
  co_return ToStoreCall(result);
}

Awaitable<StoreCall> HttpKvStoreClient::Write(BlockId id, uint64_t generation, int64_t offset,
                                              std::string bytes, Duration timeout) {
  HttpRequest request;
  request.method = "PUT";
  request.target = absl::StrCat(BlockPath(id), "?offset=", offset);
  request.headers.emplace_back(kGenerationField, absl::StrCat(generation));
  request.body = std::move(bytes);
  const HttpResult result = co_await Call(std::move(request), timeout);
  co_return ToStoreCall(result);
}

Awaitable<StoreCall> HttpKvStoreClient::Seal(BlockHeader header, Duration timeout) {
  HttpRequest request;
  request.method = "POST";
  request.target = BlockPath(header.id) + "/seal";
  request.headers.emplace_back(kLengthField, absl::StrCat(header.length));
  request.headers.emplace_back(kChecksumField, absl::StrCat(absl::Hex(header.checksum)));
  request.headers.emplace_back(kGenerationField, absl::StrCat(header.generation));
  const HttpResult result = co_await Call(std::move(request), timeout);
  co_return ToStoreCall(result);
}

Awaitable<StoreLookup> HttpKvStoreClient::Lookup(std::vector<BlockId> ids, Duration timeout) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/lookup";
  request.body = LookupBody(ids);
  const HttpResult result = co_await Call(std::move(request), timeout);
  StoreLookup lookup;
  if (!result.ok()) co_return lookup;
  try {
    const json::value body = json::parse(result.response->body);
    for (const json::value& entry : body.at("blocks").as_array()) {
      lookup.headers.push_back(DecodeEntry(entry));
    }
  } catch (const std::exception&) {
    lookup.headers.clear();
  }
  if (lookup.headers.size() == ids.size()) lookup.outcome = CallOutcome::kDone;
  co_return lookup;
}

Awaitable<StoreRange> HttpKvStoreClient::Read(BlockId id, int64_t offset, int64_t size,
                                              Duration timeout) {
  HttpRequest request;
  request.target = absl::StrCat(BlockPath(id), "?offset=", offset, "&size=", size);
  HttpResult result = co_await Call(std::move(request), timeout, size);
  StoreRange range;
  if (!result.response) co_return range;
  const bool responded = result.ok() || result.response->status == 404;
  if (responded) range.outcome = CallOutcome::kDone;
  if (!result.ok()) co_return range;
  const HttpHeaders& fields = result.response->headers;
  range.found = true;
  range.header =
      DecodeHeader(HeaderValue(fields, kIdField), HeaderValue(fields, kLengthField),
                   HeaderValue(fields, kChecksumField), HeaderValue(fields, kGenerationField),
                   HeaderValue(fields, kStateField));
  range.bytes = std::move(result.response->body);
  co_return range;
}

Awaitable<StoreCall> HttpKvStoreClient::Free(BlockId id, uint64_t generation, Duration timeout) {
  HttpRequest request;
  request.method = "DELETE";
  request.target = BlockPath(id);
  request.headers.emplace_back(kGenerationField, absl::StrCat(generation));
  const HttpResult result = co_await Call(std::move(request), timeout);
  co_return ToStoreCall(result);
}

}  // namespace

std::unique_ptr<KvStoreClient> MakeHttpKvStoreClient(HttpClient& client, Endpoint endpoint) {
  return std::make_unique<HttpKvStoreClient>(client, std::move(endpoint));
}

}  // namespace fuchsiaweir
