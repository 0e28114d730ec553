#ifndef FUCHSIAWEIR_NET_OBJECT_API_H_
#define FUCHSIAWEIR_NET_OBJECT_API_H_

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "net/awaitable.h"
#include "net/component_registry.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// What is known of a call to an outside system after it ended.
enum class CallOutcome {
  kDone,     ///< It took effect and its answer arrived.
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
  bool conflict = false;  ///< The object's version differed; nothing was written.
  int64_t version = 0;    ///< Version after the write when it is done.
};

/// The platform's object API. All calls end within the timeout passed in.
class ObjectApi : public Component {
 public:
  virtual Awaitable<ObjectRead> Read(std::string key, Duration timeout) = 0;

  /// Writes when the object's version is `expected_version`; 0 means it must not exist.
  virtual Awaitable<ObjectWrite> Write(std::string key, std::string value, int64_t expected_version,
                                       Duration timeout) = 0;

  /// Waits at most `wait` for a version above `after` and reads the object. When there is none,
  /// `version` is not above `after` and `value` may be empty.
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
