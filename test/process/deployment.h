#ifndef FUCHSIAWEIR_TEST_PROCESS_DEPLOYMENT_H_
#define FUCHSIAWEIR_TEST_PROCESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/http_types.h"
#include "net/tls_context.h"

namespace fuchsiaweir::testing {

/// Result of a blocking HTTP request; status 0 means that no complete answer arrived.
struct Reply {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  boost::json::object json() const;
};

/// Sends one request and waits for the whole answer.
Reply Send(const std::string& method, int port, const std::string& target,
           const std::string& body = "", const HttpHeaders& headers = {},
           Duration timeout = Seconds(30), TlsContext tls = nullptr);

/// Returns a port that no socket is bound to and that was not returned before.
int FreePort();

/// Repeats `condition` until it holds or the time is up; returns whether it held.
bool Eventually(const std::function<bool()>& condition, Duration within = Seconds(20));

void SleepMillis(int64_t millis);

/// Processes of a test on loopback: stand-ins, agents and entries. All are ended with it.
///
/// The inventory has the data centres "east" and "west", each with one entry, one agent, one model
/// runner and one replica of the plain service "booking"; stores in turn in both; teams "alpha" and
/// "beta" with the keys "key-alpha" and "key-beta"; the model "model" with blocks of 50 tokens.
class Deployment {
 public:
  struct Options {
    int agents = 2;
    int entries = 1;
    int stores = 0;
    std::vector<std::string> engine_flags;
    bool weight_store = false;    ///< Engines load weights from the platform's weight store.
    std::string runner_settings;  ///< Further lines of every [runner].
    std::string rules;            ///< Further lines of [rules].
    std::string settings;         ///< Further sections of every settings file.
    TlsContext daemon_tls;        ///< Requests to daemons use TLS when it is set.
  };

  Deployment() : Deployment(Options{}) {}
  explicit Deployment(Options options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts the model engines and the stores only.
  void StartEnginesAndStores();

  /// Starts everything, applies the inventory and waits until all daemons are ready.
  void Start();

  void StartProcess(const std::string& name, const std::vector<std::string>& command);
  /// Starts a daemon or stand-in of the deployment again after it was ended.
  void Restart(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Waits for the process's end and returns its exit code, or -1 when it was ended by a signal.
  int Wait(const std::string& name);
  bool Running(const std::string& name);

  int port(const std::string& name) const { return ports_.at(name); }
  pid_t pid(const std::string& name) const { return processes_.at(name); }
  const std::string& inventory() const { return inventory_; }
  const std::string& directory() const { return directory_; }

  /// Puts an inventory into force with the operator command.
  void Apply(const std::string& inventory);
  /// Runs the operator command line and returns its exit code; `output` receives what it printed.
  int RunOperatorCommand(const std::vector<std::string>& arguments, std::string* output = nullptr);
  /// Runs an operator command on the deployment's platform.
  int RunPlatformCommand(std::vector<std::string> arguments, std::string* output = nullptr);
  /// Shows all daemons in the platform's host list, those named in `leaving` as leaving.
  void PublishHostList(const std::set<std::string>& leaving = {});
  /// Names of all agents and entries.
  std::vector<std::string> Daemons() const;
  /// Returns a daemon's status answer; empty when it does not answer.
  boost::json::object Status(const std::string& daemon);
  /// Returns the revision that a daemon reports, or 0.
  int64_t Revision(const std::string& daemon);
  bool AllAtRevision(int64_t revision);
  /// Switches a fault of a stand-in on or off.
  void InjectFault(const std::string& name, const std::string& json);
  boost::json::object Stats(const std::string& name);

  /// Sends a completion for team alpha.
  Reply Complete(const std::string& prompt, int max_tokens, const std::string& entry = "entry0");
  /// Calls the non-idempotent booking service for team alpha.
  Reply Book(const std::string& key, const std::string& body, const std::string& entry = "entry0");
  /// Number of executions that all replicas of the plain service recorded for a body.
  int Executions(const std::string& body);
  bool AllReady();

 private:
  void ReservePorts();
  std::string PeerAddresses(const std::string& self) const;
  void WriteFiles();
  void AddProcess(const std::string& name, const std::vector<std::string>& command);

  Options options_;
  std::string directory_;
  std::string inventory_;
  std::map<std::string, int> ports_;
  std::map<std::string, pid_t> processes_;
  std::map<std::string, std::vector<std::string>> commands_;
  std::vector<std::string> order_;
};

/// Text with the given number of white-space tokens that differs between seeds.
std::string MakePrompt(int count, int seed);

}  // namespace fuchsiaweir::testing

#endif  // FUCHSIAWEIR_TEST_PROCESS_DEPLOYMENT_H_
