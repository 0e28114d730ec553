#ifndef FUCHSIAWEIR_TEST_PROCESS_FLEET_H_
#define FUCHSIAWEIR_TEST_PROCESS_FLEET_H_

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/deployment.h"

namespace fuchsiaweir::testing {

/// Gateways, sidecars, stand-in runners and the stand-in of the users' object store, on loopback.
/// Process names are "gatewayI", "sidecarI", "runnerI" and "store", with I from 0.
class Fleet {
 public:
  explicit Fleet(int gateways = 1, int runners = 2, bool sidecars = false);

  /// Lets a gateway call the store at its second port, which the fault "silence_port" cuts off.
  /// Call before `Start`.
  void UseSecondStorePort(int gateway) {
    gateways_.at(static_cast<size_t>(gateway)).second_store_port = true;
  }

  /// The same for all sidecars.
  void UseSecondStorePortForSidecars() { sidecars_at_second_port_ = true; }

  /// Lets the runners log which requests they begin and how each ends. Call before `Start`.
  void RecordRuns() { record_runs_ = true; }
  int runner_port(int runner) const { return runners_.at(static_cast<size_t>(runner)); }
  /// Lets the system reach a runner at another port, that of a proxy. Call before `Start`.
  void SetListedPort(int runner, int port) { listed_.at(static_cast<size_t>(runner)) = port; }
  /// Limits the time of each call to the store and of each injected fault.
  void SetCallTimeout(Duration timeout) { call_timeout_ = timeout; }
  /// Sets the largest body and the time limit of requests in the desired state. Call before
  /// `Start`.
  void SetRequestLimits(int64_t body_bytes, int64_t read_timeout_ms) {
    body_bytes_ = body_bytes;
    read_timeout_ms_ = read_timeout_ms;
  }

  /// Sets how long a gateway accepts an API key without a confirmation. Call before `Start`.
  void SetKeyRevocation(Duration limit) { key_revocation_ = limit; }
  /// Adds lines to the section [bounds] of the gateways' settings. Call before `Start`.
  void AddBounds(const std::string& lines) { bounds_ += lines; }
  /// Sets the version that the store's record of a runner tells; otherwise "v1".
  void SetVersion(int runner, const std::string& version) { versions_[runner] = version; }

  /// Starts everything and waits until the gateways are ready.
  void Start();

  /// Starts a runner's process, with a start time that its reports tell.
  void StartRunner(int runner, int64_t started_ms = 1'000);

  /// Writes an object of the store, as an operator or a runner would. Returns whether the store has
  /// confirmed it.
  bool Put(const std::string& kind, const std::string& name, const boost::json::value& spec);
  bool Delete(const std::string& kind, const std::string& name);
  /// Returns an object's field "state" of its status; empty if it has none.
  std::string StateOf(const std::string& kind, const std::string& name);
  /// Writes the store's record of a runner that started at `started_ms`.
  bool ListRunner(int runner, const std::string& state = "ready", int cold_ms = 0,
                  int64_t started_ms = 1'000);
  /// Writes a new version of the desired state, with `keys` as the API keys of team "alpha" and
  /// this number of further routes.
  bool PutDesiredState(const std::vector<std::string>& keys, int further_routes = 0);
  /// Writes the newest desired state again, with the same version.
  bool PutDesiredStateAgain();

  /// Sends a request to a gateway. `path` selects the route by its prefix: "/safe/", "/unsafe/",
  /// "/stream/" or "/single/".
  Reply Call(const std::string& path, const std::string& body, int gateway = 0,
             const std::string& key = "key-1", int deadline_ms = 3'000);
  /// Sends a request to a gateway, with further header fields, and returns the bytes that arrive
  /// until it closes the connection, also those of a response that is cut. `id` is the request's
  /// id; empty: a new one.
  std::string CallForBytes(const std::string& path, const std::string& body, int gateway = 0,
                           const std::string& id = "", const HttpHeaders& fields = {});
  /// Sends a request to the first gateway with this id.
  Reply CallWithId(const std::string& path, const std::string& body, const std::string& id);
  bool Ready(int gateway);

  /// Injects a fault into the store or a runner; `json` is the body of the stand-in's /fault route.
  /// Returns whether the stand-in has confirmed it.
  bool InjectFault(const std::string& name, const std::string& json);
  /// Makes the store copy its contents, from which `RestoreStore` restores it.
  void CopyStore();
  /// Makes the store come back with the copy. It takes writes at once, and reads after `away`.
  /// Returns whether the store has confirmed it.
  bool RestoreStore(Duration away);
  /// Makes the store use up revisions, so that it passes those that processes know.
  void SkipStoreRevisions(int64_t count);
  /// Returns the number of reads that the store has got, by the names of its statistics.
  boost::json::object StoreStats();
  boost::json::object Stats(int runner);
  bool Answers(int runner);
  /// Returns the number of runs that a runner has started.
  int64_t Runs(int runner) { return Stats(runner).at("runs").to_number<int64_t>(); }

  /// Returns the largest number of requests that arrived at a runner within `window`, from
  /// `since` (steady clock) on.
  int64_t MostArrivals(int runner, TimePoint since, Duration window);

  void Signal(const std::string& name, int signal) { processes_.Signal(name, signal); }
  void Restart(const std::string& name) { processes_.Restart(name); }
  pid_t pid(const std::string& name) const { return processes_.pid(name); }
  int Wait(const std::string& name) { return processes_.Wait(name); }
  std::optional<int> TryWait(const std::string& name) { return processes_.TryWait(name); }
  /// Runs a command of the binary. Returns its exit code.
  int RunOperatorCommand(const std::vector<std::string>& arguments, std::string* output = nullptr) {
    return processes_.RunOperatorCommand(arguments, output);
  }
  /// Returns the largest resident memory that the process has had, in MB; 0 if it has ended.
  int64_t PeakMemoryMb(const std::string& name) const;
  /// Returns what a process has logged so far.
  std::string Log(const std::string& name) const;
  /// Whether the log of each gateway contains the text.
  bool AllGatewaysLogged(const std::string& text) const;
  const std::string& directory() const { return processes_.directory(); }
  int store_port() const { return store_port_; }
  int second_store_port() const { return second_store_port_; }
  int caller_port(int gateway) const { return gateways_.at(static_cast<size_t>(gateway)).callers; }
  int peer_port(int gateway) const { return gateways_.at(static_cast<size_t>(gateway)).peer; }
  int metrics_port(int gateway) const { return gateways_.at(static_cast<size_t>(gateway)).metrics; }
  int sidecar_metrics_port(int sidecar) const {
    return sidecar_metrics_.at(static_cast<size_t>(sidecar));
  }

 private:
  struct GatewayPorts {
    int callers = 0;
    int readiness = 0;
    int peer = 0;
    int metrics = 0;
    bool second_store_port = false;
  };

  void StartDaemon(const std::string& role, const std::string& name, const std::string& process,
                   int peer, int metrics, int store);

  Deployment processes_;
  int store_port_;
  int second_store_port_;
  std::vector<GatewayPorts> gateways_;
  std::vector<int> runners_;
  std::vector<int> listed_;  ///< Ports of the runners in the store and in the sidecars' settings.
  std::vector<int> sidecar_metrics_;
  bool sidecars_;
  bool sidecars_at_second_port_ = false;
  std::string bounds_;
  std::map<int, std::string> versions_;
  bool record_runs_ = false;
  Duration call_timeout_ = Seconds(30);
  Duration key_revocation_ = Millis(4'000);
  int64_t body_bytes_ = 65'536;
  int64_t read_timeout_ms_ = 3'000;
  int64_t revision_ = 0;
  boost::json::value desired_state_;
  int64_t sequence_ = 0;
};

}  // namespace fuchsiaweir::testing

#endif  // FUCHSIAWEIR_TEST_PROCESS_FLEET_H_
