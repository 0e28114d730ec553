#ifndef FUCHSIAWEIR_NET_CALL_DISPATCHER_H_
#define FUCHSIAWEIR_NET_CALL_DISPATCHER_H_

#include <string>

#include "core/inventory.h"
#include "core/result.h"
#include "core/run_message.h"
#include "net/http_client.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Calls the plain services on this agent's host, the non-idempotent ones at most once per key.
class CallDispatcher {
 public:
  CallDispatcher(HttpClient& client, ObjectApi& objects, Duration platform_timeout);

  Awaitable<Result<ServiceAnswer>> Dispatch(ServiceCall call, Service service);

 private:
  Awaitable<Result<ServiceAnswer>> Call(ServiceCall call, Service service);

  HttpClient& client_;
  ObjectApi& objects_;
  Duration platform_timeout_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CALL_DISPATCHER_H_
