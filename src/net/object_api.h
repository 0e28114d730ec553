#ifndef FUCHSIAWEIR_NET_OBJECT_API_H_
#define FUCHSIAWEIR_NET_OBJECT_API_H_

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "net/awaitable.h"
#include "net/component_registry.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Whether a call to an external system took effect.
enum class CallOutcome {
  kDone,     ///< It took effect and its response was received.
  kNotDone,  ///< It had no effect.
  kUnknown,  ///< It may have taken effect.
};

/// Result of reading one object.
struct ObjectRead {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool found = false;
  int64_t version = 0;  ///< 0 when the object does not exist.
  std::string value;
};

/// Result of a conditional update.
struct ObjectWrite {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool conflict = false;  ///< The object had another version; nothing was written.
  int64_t version = 0;    ///< Version after the write if the outcome is kDone.
};

/// Client of the platform's object store. Calls end within `timeout`, and `Watch` within `wait`
/// plus `timeout`.
class ObjectApi : public Component {
 public:
  virtual Awaitable<ObjectRead> Read(std::string key, Duration timeout) = 0;

  /// Writes the object if its version is `expected_version`; 0: if it does not exist.
  virtual Awaitable<ObjectWrite> Write(std::string key, std::string value, int64_t expected_version,
                                       Duration timeout) = 0;

  /// Long-polls for a version above `after`, for at most `wait`. If there is none, the result's
  /// `version` is not above `after` and its `value` may be empty.
  virtual Awaitable<ObjectRead> Watch(std::string key, int64_t after, Duration wait,
                                      Duration timeout) = 0;
};

/// Object API over HTTP: GET and PUT /objects/KEY with JSON bodies.
class HttpObjectApi : public ObjectApi {
 public:
  HttpObjectApi(HttpClient& client, Endpoint endpoint);

  Awaitable<ObjectRead> Read(std::string key, Duration timeout) override;
  Awaitable<ObjectWrite> Write(std::string key, std::string value, int64_t expected_version,
                               Duration timeout) override;
  Awaitable<ObjectRead> Watch(std::string key, int64_t after, Duration wait,
                              Duration timeout) override;

 private:
  Awaitable<ObjectRead> Get(std::string target, int64_t after, Duration timeout);

  HttpClient& client_;
  Endpoint endpoint_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_OBJECT_API_H_
