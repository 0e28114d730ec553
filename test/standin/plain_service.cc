#include "plain_service.h"

#include <string>
#include <vector>

#include "core/json_fields.h"
#include "standin_server.h"

namespace fuchsiaweir::standin {
namespace {

namespace json = boost::json;

class PlainService {
 public:
  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  Awaitable<void> Execute(HttpExchange& exchange);

  std::vector<std::string> executions_;
  int64_t delay_ms_ = 0;
  int64_t lose_answers_ = 0;
};

Awaitable<void> PlainService::Handle(HttpExchange& exchange) {
  const std::string path = exchange.target().path;
  if (path == "/fault") {
    const json::object body = ParseJsonObject(exchange.request().body);
    if (body.contains("delay_ms")) delay_ms_ = IntegerField(body, "delay_ms");
    if (body.contains("lose_answers")) lose_answers_ = IntegerField(body, "lose_answers");
    co_return co_await SendJson(exchange, 200, "{}");
  }
  if (path == "/executions") {
    const json::object body{{"executions", ToJsonArray(executions_)}};
    co_return co_await SendJson(exchange, 200, json::serialize(body));
  }
  co_await Execute(exchange);
}

Awaitable<void> PlainService::Execute(HttpExchange& exchange) {
  executions_.push_back(exchange.request().method + " " + exchange.request().target + " " +
                        exchange.request().body);
  const size_t number = executions_.size();
  if (delay_ms_ > 0) co_await SleepFor(Millis(delay_ms_));
  if (lose_answers_ > 0) {
    --lose_answers_;
    co_return co_await DropResponse(exchange);
  }
  const json::object body{{"execution", number}, {"request", exchange.request().body}};
  co_await SendJson(exchange, 200, json::serialize(body));
}

}  // namespace

void RunPlainService(int port) {
  boost::asio::io_context io(1);
  PlainService service;
  Serve(io, port, [&service](HttpExchange& exchange) { return service.Handle(exchange); });
}

}  // namespace fuchsiaweir::standin
