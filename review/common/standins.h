#ifndef FUCHSIAWEIR_REVIEW_COMMON_STANDINS_H_
#define FUCHSIAWEIR_REVIEW_COMMON_STANDINS_H_

#include <atomic>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

// Stand-ins for the platform's store and for runners, as PROTOCOL describes them.
namespace review {

/// The platform's metadata store: lists, watches, conditional writes.
class ObjectStore {
 public:
  explicit ObjectStore(const std::string& ip);
  const Address& address() const { return server_->address(); }

  /// Writes as the operator or a runner; when it returns, the write is acknowledged.
  void Put(const std::string& kind, const std::string& name, boost::json::value spec);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct Change {
    int64_t revision = 0;
    std::string kind;
    boost::json::object object;
    bool removed = false;
  };

  void Serve(Connection& connection);
  std::string Answer(const Message& request);
  std::string Watch(const std::string& kind, int64_t since, int64_t wait_ms);
  std::string Write(const Message& request, const std::string& kind, std::string name);
  void Apply(const std::string& kind, const std::string& name, boost::json::value spec);

  std::mutex mutex_;
  int64_t revision_ = 1;
  std::map<std::string, std::map<std::string, boost::json::object>> objects_;
  std::vector<Change> changes_;
  std::unique_ptr<Server> server_;
};

/// A request that reached a runner.
struct Arrival {
  int64_t at_ms = 0;
  std::string runner;
  std::string request_id;
  std::string target;
  std::string tenant;
  std::string body;
  bool run = false;
};

/// What arrived at all runners, in order.
class Arrivals {
 public:
  void Add(Arrival arrival);
  std::vector<Arrival> All();
  int64_t Runs(const std::string& request_id);

 private:
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

struct RunnerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip = "127.0.0.1";
  int64_t slots = 64;
  /// Milliseconds of work on a request.
  int64_t work_ms = 0;
  /// Answers in place of the runner after the request was counted as run. Returns whether the
  /// connection stays open.
  std::function<bool(Connection&, const Message&, const Headers&)> run;
};

/// A plain runner: answers with the request's body, a receipt and the request's id.
class Runner {
 public:
  Runner(RunnerOptions options, Arrivals& arrivals);
  const Address& address() const { return server_->address(); }
  const RunnerOptions& options() const { return options_; }
  /// The runner's entry in the store.
  boost::json::object Entry(const std::string& state = "ready");

 private:
  void Serve(Connection& connection);

  RunnerOptions options_;
  Arrivals& arrivals_;
  int64_t born_ms_;
  std::atomic<int64_t> sequence_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_STANDINS_H_
