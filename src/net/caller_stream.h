#ifndef FUCHSIAWEIR_NET_CALLER_STREAM_H_
#define FUCHSIAWEIR_NET_CALLER_STREAM_H_

#include <string>
#include <vector>

#include "core/completion_api.h"
#include "core/result.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// Writes one completion to its caller, as server-sent events or as one JSON body. The functions
/// that write return false if the caller has disconnected.
class CallerStream {
 public:
  CallerStream(HttpExchange& exchange, CompletionRequest request, std::string id);

  const CompletionRequest& request() const { return request_; }
  const std::vector<std::string>& output() const { return output_; }

  /// Sends tokens as an event, or buffers them for `Finish` if the caller wants one JSON body.
  Awaitable<bool> Deliver(std::vector<std::string> tokens);
  Awaitable<bool> Finish(std::string finish, Usage usage);
  /// Ends with an error: an event if the stream has begun, else an error response.
  Awaitable<bool> Fail(Error error);

  bool caller_gone() const { return exchange_.peer_closed(); }

 private:
  Awaitable<bool> BeginEvents();

  HttpExchange& exchange_;
  CompletionRequest request_;
  std::string id_;
  std::vector<std::string> output_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CALLER_STREAM_H_
