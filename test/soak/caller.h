#ifndef FUCHSIAWEIR_TEST_SOAK_CALLER_H_
#define FUCHSIAWEIR_TEST_SOAK_CALLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir::soak {

/// A route of the fleet.
struct Route {
  const char* name;
  bool repeatable;  ///< A request may run more than once.
  bool stream;
};

/// Time that the callers give each request; the routes' timeout is the same.
constexpr Duration kTimeLimit = Seconds(3);

/// What a desired state has added.
struct Additions {
  int64_t state = 0;  ///< Number of the desired state, from 1.
  std::string key;
  int further_routes = 0;
};

/// Returns the additions that callers may use at a time, if any.
using FindAdditions = std::function<std::optional<Additions>(TimePoint)>;

/// One request and what its caller saw.
struct Attempt {
  std::string id;
  const Route* route = nullptr;
  int gateway = 0;
  int64_t state = 0;       ///< Desired state whose key it has; 0: a key of all states.
  bool new_route = false;  ///< It is on the last further route of `state`.
  int place = 0;           ///< Requests that the connection has carried before.
  TimePoint begin;         ///< Before the first byte was written.
  TimePoint sent;          ///< After the last byte was written; valid if `written`.
  TimePoint end;
  bool written = false;
  bool complete = false;  ///< A complete response has arrived.
  bool left = false;      ///< The caller closed the connection first.
  int status = 0;         ///< 0: not even the head of a response has arrived.
  int64_t last_event = 0;
  std::string wrong;  ///< What is wrong with a response that looks complete.
  std::string error;  ///< How the connection ended.
};

/// Callers, each with a thread and one connection at a time, which it uses until the gateway closes
/// it. They send requests from construction until `Stop`.
class Callers {
 public:
  Callers(uint64_t seed, int count, std::vector<int> ports, FindAdditions additions);
  ~Callers() { Stop(); }

  /// Ends the callers once each has got its last answer.
  void Stop();
  /// Returns all requests. Call after `Stop`.
  const std::vector<Attempt>& attempts() const { return attempts_; }

 private:
  void Run(uint64_t seed, int number);

  std::vector<int> ports_;
  FindAdditions additions_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::vector<std::jthread> threads_;
};

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_CALLER_H_
