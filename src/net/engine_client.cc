#include "net/engine_client.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <utility>

#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

std::vector<std::string> ParseStrings(const json::value& array) {
  std::vector<std::string> strings;
  for (const json::value& item : array.as_array()) strings.emplace_back(item.as_string());
  return strings;
}

json::array ToJsonArray(const std::vector<std::string>& strings) {
  return json::array(strings.begin(), strings.end());
}

EngineEvent DecodeEvent(const std::string& line) {
  EngineEvent event;
  try {
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    const json::value body = json::parse(line, {}, options);
    if (body.as_object().contains("done")) {
      event.type = EngineEvent::Type::kDone;
      event.finish = std::string(body.at("finish").as_string());
      event.cached_tokens = body.at("cached_tokens").to_number<int64_t>();
      return event;
    }
    event.type = EngineEvent::Type::kTokens;
    event.offset = body.at("offset").to_number<int64_t>();
    event.tokens = ParseStrings(body.at("tokens"));
  } catch (const std::exception& e) {
    event.type = EngineEvent::Type::kFailed;
    event.failure = std::string("malformed engine event: ") + DecodeErrorMessage(e);
  }
  return event;
}

/// Returned when a generate call opens no stream; every event is the failure of the call.
class FailedEngineStream : public EngineStream {
 public:
  explicit FailedEngineStream(EngineEvent event) : event_(std::move(event)) {}
  Awaitable<EngineEvent> Next(Duration) override { co_return event_; }

 private:
  EngineEvent event_;
};

class HttpEngineStream : public EngineStream {
 public:
  explicit HttpEngineStream(std::unique_ptr<HttpStream> stream) : stream_(std::move(stream)) {}

  Awaitable<EngineEvent> Next(Duration timeout) override {
    const HttpStream::Line line = co_await stream_->ReadLine(timeout);
    if (line.status == HttpStream::ReadStatus::kLine) co_return DecodeEvent(line.text);
    EngineEvent event;
    const bool timed_out = line.status == HttpStream::ReadStatus::kTimedOut;
    event.type = timed_out ? EngineEvent::Type::kTimedOut : EngineEvent::Type::kFailed;
    event.failure = timed_out ? absl::StrCat("engine sent nothing for ", ToMillis(timeout), " ms")
                              : "engine stream ended before the output was complete";
    co_return event;
  }

 private:
  std::unique_ptr<HttpStream> stream_;
};

EngineCall ToEngineCall(const HttpResult& result) {
  EngineCall call;
  call.failure = result.failure;
  if (result.ok()) {
    call.outcome = CallOutcome::kDone;
  } else if (result.response) {
    call.refused = true;
    call.failure = absl::StrCat("engine responded with status ", result.response->status);
  } else if (result.stage == CallStage::kSent) {
    call.outcome = CallOutcome::kUnknown;
  }
  return call;
}

std::optional<EngineLoad> DecodeLoad(const std::string& text) {
  try {
    const json::value body = json::parse(text);
    EngineLoad load;
    load.instance = std::string(body.at("instance").as_string());
    load.model = std::string(body.at("model").as_string());
    load.version = std::string(body.at("version").as_string());
    load.running = body.at("running").to_number<int64_t>();
    load.waiting = body.at("waiting").to_number<int64_t>();
    return load;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Converts the result of a generate call that opened no stream.
EngineEvent ToFailureEvent(const HttpStreamResult& result) {
  EngineEvent event;
  event.failure = result.failure;
  event.stage = RequestStage::kWriteStarted;
  if (result.stage == CallStage::kNotConnected) {
    event.type = EngineEvent::Type::kRefused;
    event.stage = RequestStage::kNotConnected;
  } else if (result.response) {
    const int status = result.response->status;
    event.failure = absl::StrCat("engine responded with status ", status);
    event.stage = RequestStage::kAnswerIncomplete;
    // Only a 4xx status or 503 means that the engine did not start the run; another status may be
    // sent after part of the run was executed.
    if (status / 100 == 4 || status == 503) {
      event.type = EngineEvent::Type::kRefused;
      event.stage = RequestStage::kRefusedByEngine;
    }
  }
  return event;
}

class HttpEngineClient : public EngineClient {
 public:
  HttpEngineClient(HttpClient& client, Endpoint endpoint)
      : client_(client), endpoint_(std::move(endpoint)) {}

  Awaitable<std::unique_ptr<EngineStream>> Generate(GenerateRequest request,
                                                    Duration timeout) override;
  Awaitable<EngineCall> Cancel(std::string run, Duration timeout) override;
  Awaitable<EngineProbe> Probe(Duration timeout) override;
  Awaitable<std::optional<CacheEvents>> Events(int64_t after, Duration timeout) override;
  Awaitable<EngineExport> ExportBlock(std::string block, Duration timeout) override;
  Awaitable<EngineCall> ImportBlock(std::string block, std::string bytes,
                                    Duration timeout) override;
  Awaitable<EngineCall> LoadWeights(LoadOrder order, Duration timeout) override;

 private:
  Awaitable<HttpResult> Call(std::string method, std::string target, std::string body,
                             Duration timeout);

  HttpClient& client_;
  Endpoint endpoint_;
};

Awaitable<HttpResult> HttpEngineClient::Call(std::string method, std::string target,
                                             std::string body, Duration timeout) {
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  CallOptions options;
  options.timeout = timeout;
  co_return co_await client_.Call(endpoint_, std::move(request), options);
}

Awaitable<std::unique_ptr<EngineStream>> HttpEngineClient::Generate(GenerateRequest request,
                                                                    Duration timeout) {
  HttpRequest message;
  message.method = "POST";
  message.target = "/v1/generate";
  message.body = json::serialize(json::object{{"run", request.run},
                                              {"prompt", ToJsonArray(request.prompt)},
                                              {"produced", ToJsonArray(request.produced)},
                                              {"blocks", ToJsonArray(request.blocks)},
                                              {"block_tokens", request.block_tokens},
                                              {"max_tokens", request.max_tokens},
                                              {"priority", request.priority}});
  CallOptions options;
  options.timeout = timeout;
  HttpStreamResult result = co_await client_.OpenStream(endpoint_, std::move(message), options);
  if (result.stream != nullptr) {
    co_return std::make_unique<HttpEngineStream>(std::move(result.stream));
  }
  co_return std::make_unique<FailedEngineStream>(ToFailureEvent(result));
}

Awaitable<EngineCall> HttpEngineClient::Cancel(std::string run, Duration timeout) {
  std::string body = json::serialize(json::object{{"run", run}});
  const HttpResult result = co_await Call("POST", "/v1/cancel", std::move(body), timeout);
  co_return ToEngineCall(result);
}

Awaitable<EngineProbe> HttpEngineClient::Probe(Duration timeout) {
  const HttpResult result = co_await Call("GET", "/v1/load", "", timeout);
  EngineProbe probe;
  probe.unreachable = result.stage == CallStage::kNotConnected;
  if (result.ok()) probe.load = DecodeLoad(result.response->body);
  co_return probe;
}

Awaitable<std::optional<CacheEvents>> HttpEngineClient::Events(int64_t after, Duration timeout) {
  const HttpResult result =
      co_await Call("GET", absl::StrCat("/v1/cache-events?after=", after), "", timeout);
  if (!result.ok()) co_return std::nullopt;
  try {
    const json::value body = json::parse(result.response->body);
    CacheEvents events;
    events.next = body.at("next").to_number<int64_t>();
    events.gap = body.at("gap").as_bool();
    events.added = ParseStrings(body.at("added"));
    events.evicted = ParseStrings(body.at("evicted"));
    co_return events;
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

Awaitable<EngineExport> HttpEngineClient::ExportBlock(std::string block, Duration timeout) {
  HttpResult result = co_await Call("GET", "/v1/kv/" + block, "", timeout);
  EngineExport exported;
  if (!result.response) co_return exported;
  exported.outcome = CallOutcome::kDone;
  exported.found = result.response->status == 200;
  exported.bytes = std::move(result.response->body);
  co_return exported;
}

Awaitable<EngineCall> HttpEngineClient::ImportBlock(std::string block, std::string bytes,
                                                    Duration timeout) {
  const HttpResult result = co_await Call("PUT", "/v1/kv/" + block, std::move(bytes), timeout);
  co_return ToEngineCall(result);
}

Awaitable<EngineCall> HttpEngineClient::LoadWeights(LoadOrder order, Duration timeout) {
  std::string body = json::serialize(json::object{{"kind", "load"},
                                                  {"model", order.model},
                                                  {"version", order.version},
                                                  {"fence", order.fence},
                                                  {"proof", order.proof}});
  const HttpResult result = co_await Call("POST", "/v1/orders", std::move(body), timeout);
  co_return ToEngineCall(result);
}

}  // namespace

std::unique_ptr<EngineClient> MakeHttpEngineClient(HttpClient& client, Endpoint endpoint) {
  return std::make_unique<HttpEngineClient>(client, std::move(endpoint));
}

}  // namespace fuchsiaweir
