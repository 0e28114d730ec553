#include "net/object_api.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <utility>

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

/// Status of a watch that ended without a newer version; the response carries no value.
constexpr int kNotModified = 304;

std::string ObjectTarget(const std::string& key) { return "/objects/" + PercentEncode(key); }

ObjectRead DecodeRead(const HttpResponse& response) {
  ObjectRead read;
  if (response.status == 404) {
    read.outcome = CallOutcome::kDone;
    return read;
  }
  if (response.status != 200) return read;
  try {
    const json::value body = json::parse(response.body);
    read.version = body.at("version").to_number<int64_t>();
    read.value = std::string(body.at("value").as_string());
    read.found = true;
    read.outcome = CallOutcome::kDone;
  } catch (const std::exception&) {
    read = ObjectRead{};  // A malformed response does not show whether the object exists.
  }
  return read;
}

ObjectWrite DecodeWrite(const HttpResponse& response) {
  ObjectWrite write;
  write.conflict = response.status == 409;
  if (write.conflict) return write;
  // The API guarantees only for 429 and 503 that nothing was written. After any other failure the
  // write may have taken effect.
  write.outcome = response.status == 429 || response.status == 503 ? CallOutcome::kNotDone
                                                                   : CallOutcome::kUnknown;
  if (response.status != 200) return write;
  try {
    write.version = json::parse(response.body).at("version").to_number<int64_t>();
    write.outcome = CallOutcome::kDone;
  } catch (const std::exception&) {
    write.outcome = CallOutcome::kUnknown;
  }
  return write;
}

}  // namespace

HttpObjectApi::HttpObjectApi(HttpClient& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

Awaitable<ObjectRead> HttpObjectApi::Get(std::string target, int64_t after, Duration timeout) {
  HttpRequest request;
  request.target = std::move(target);
  CallOptions options;
  options.timeout = timeout;
  const HttpResult result = co_await client_.Call(endpoint_, std::move(request), options);
  if (!result.response) co_return ObjectRead{};
  if (result.response->status == kNotModified) {
    co_return ObjectRead{CallOutcome::kDone, true, after, ""};
  }
  co_return DecodeRead(*result.response);
}

Awaitable<ObjectRead> HttpObjectApi::Read(std::string key, Duration timeout) {
  return Get(ObjectTarget(key), 0, timeout);
}

Awaitable<ObjectRead> HttpObjectApi::Watch(std::string key, int64_t after, Duration wait,
                                           Duration timeout) {
  std::string target =
      absl::StrCat(ObjectTarget(key), "?after=", after, "&wait_ms=", ToMillis(wait));
  return Get(std::move(target), after, wait + timeout);
}

Awaitable<ObjectWrite> HttpObjectApi::Write(std::string key, std::string value,
                                            int64_t expected_version, Duration timeout) {
  HttpRequest request;
  request.method = "PUT";
  request.target = absl::StrCat(ObjectTarget(key), "?expect=", expected_version);
  request.body = std::move(value);
  CallOptions options;
  options.timeout = timeout;
  options.fresh_connection = true;
  const HttpResult result = co_await client_.Call(endpoint_, std::move(request), options);
  if (result.response) co_return DecodeWrite(*result.response);
  ObjectWrite write;
  write.outcome = result.stage == CallStage::kSent ? CallOutcome::kUnknown : CallOutcome::kNotDone;
  co_return write;
}

}  // namespace fuchsiaweir
