#include "net/caller_stream.h"

#include <absl/strings/str_join.h>

#include <utility>

namespace fuchsiaweir {

CallerStream::CallerStream(HttpExchange& exchange, CompletionRequest request, std::string id)
    : exchange_(exchange), request_(std::move(request)), id_(std::move(id)) {}

Awaitable<bool> CallerStream::BeginEvents() {
  if (exchange_.streaming()) co_return true;
  HttpHeaders headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
  co_return co_await exchange_.BeginStream(200, std::move(headers));
}

Awaitable<bool> CallerStream::Deliver(std::vector<std::string> tokens) {
  std::string text = absl::StrJoin(tokens, "");
  for (std::string& token : tokens) output_.push_back(std::move(token));
  // A write to the stream fails after the caller has disconnected; a check before each write would
  // cost one system call per token.
  if (!request_.stream || text.empty()) co_return !exchange_.peer_closed();
  const bool begun = co_await BeginEvents();
  if (!begun) co_return false;
  std::string event = RenderTextEvent(request_, id_, text);
  co_return co_await exchange_.WriteChunk(std::move(event));
}

Awaitable<bool> CallerStream::Finish(std::string finish, Usage usage) {
  if (!request_.stream) {
    HttpResponse response = JsonResponse(
        200, RenderCompletion(request_, id_, absl::StrJoin(output_, ""), finish, usage));
    co_return co_await exchange_.Respond(std::move(response));
  }
  const bool begun = co_await BeginEvents();
  if (!begun) co_return false;
  std::string events = RenderFinalEvents(request_, id_, finish, usage);
  const bool written = co_await exchange_.WriteChunk(std::move(events));
  co_return written&& co_await exchange_.EndStream();
}

Awaitable<bool> CallerStream::Fail(Error error) {
  if (!exchange_.streaming()) {
    HttpResponse response = ErrorResponse(error);
    co_return co_await exchange_.Respond(std::move(response));
  }
  std::string event = RenderErrorEvent(error);
  const bool written = co_await exchange_.WriteChunk(std::move(event));
  co_return written&& co_await exchange_.EndStream();
}

}  // namespace fuchsiaweir
