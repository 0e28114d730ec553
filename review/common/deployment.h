#ifndef FUCHSIAWEIR_REVIEW_COMMON_DEPLOYMENT_H_
#define FUCHSIAWEIR_REVIEW_COMMON_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

// Starts the programs of the deploy file as processes, and records what a case observes.
namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Whether the case plays its disruption; not with TROUBLE=0.
bool Trouble();

/// Writes lines to the record of the case and to standard output.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Zones and their regions.
using Zones = std::map<std::string, std::string>;

/// Gateways and sidecars, each with its own loopback address. All processes end with this object.
class Deployment {
 public:
  Deployment(Address store, Zones zones);
  ~Deployment();

  /// Starts a gateway. Returns its name.
  std::string StartGateway(const std::string& zone);
  std::string StartSidecar(const std::string& zone, const Address& runner);
  /// Waits until the gateway says that it is ready.
  bool WaitReady(const std::string& name, int64_t timeout_ms);
  bool Ready(const std::string& name);
  Address callers(const std::string& name) const;
  Address peer(const std::string& name) const;
  void Signal(const std::string& name, int signal);
  /// Starts the process again after its end.
  void Restart(const std::string& name);
  /// Returns how the process ended, or "" while it runs.
  std::string Ended(const std::string& name);
  /// Resident memory of the process; 0 once it has ended.
  int64_t MemoryMb(const std::string& name) const;
  std::string Log(const std::string& name) const;

 private:
  struct Process {
    std::string role;
    std::string ip;
    pid_t pid = 0;
    std::string ended;
  };

  std::string Start(const std::string& role, const std::string& zone,
                    const std::string& process_lines);
  void Spawn(const std::string& name);

  Address store_;
  Zones zones_;
  std::string directory_;
  std::map<std::string, Process> processes_;
};

/// A route of the desired state; fields can be changed before it is used.
boost::json::object MakeRoute(const std::string& path_prefix, const std::string& kind,
                              const std::string& service, int attempts);
/// A desired state with these routes, services and tenants.
boost::json::object MakeDesiredState(int64_t version, boost::json::array routes,
                                     const std::vector<std::string>& services,
                                     boost::json::array tenants);
boost::json::object MakeTenant(const std::string& name, const std::vector<std::string>& keys);

/// What a client saw of its request.
struct Answer {
  int status = 0;  ///< 0: no answer.
  bool complete = false;
  Headers headers;
  std::string body;
  std::string problem;  ///< Why there is no complete answer.
};

/// A client with a connection that it keeps.
class Client {
 public:
  explicit Client(const Address& gateway) : gateway_(gateway) {}
  Answer Send(const std::string& method, const std::string& path, const std::string& id,
              const std::string& key, const std::string& body, int64_t deadline_ms,
              const Headers& more = {});

 private:
  Address gateway_;
  std::unique_ptr<Connection> connection_;
};

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_DEPLOYMENT_H_
