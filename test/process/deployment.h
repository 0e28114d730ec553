#ifndef FUCHSIAWEIR_TEST_PROCESS_DEPLOYMENT_H_
#define FUCHSIAWEIR_TEST_PROCESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "net/http_types.h"
#include "net/tls_context.h"

namespace fuchsiaweir::testing {

/// Response to a blocking HTTP request; status 0 means that no complete response arrived.
struct Reply {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  boost::json::object json() const;
};

/// Sends one request and waits for the complete response.
Reply Send(const std::string& method, int port, const std::string& target,
           const std::string& body = "", const HttpHeaders& headers = {},
           Duration timeout = Seconds(30), TlsContext tls = nullptr);

/// Returns a loopback port that no socket is bound to and that was not returned before.
int FreePort();

/// Polls `condition` until it holds or the timeout has passed; returns whether it held.
bool Eventually(const std::function<bool()>& condition, Duration timeout = Seconds(20));

void SleepMillis(int64_t millis);

/// The processes of a test on loopback: stand-ins, agents and entries. The destructor kills them.
///
/// The inventory has the data centres "east" and "west", each with one entry, one agent, one model
/// runner and one replica of the plain service "booking"; stores alternate between them; teams
/// "alpha" and "beta" with the keys "key-alpha" and "key-beta"; the model "model" with blocks of 50
/// tokens.
class Deployment {
 public:
  struct Options {
    int agents = 2;
    int entries = 1;
    int stores = 0;
    std::vector<std::string> engine_flags;
    bool weight_store = false;    ///< Engines load weights from the platform's weight store.
    std::string runner_settings;  ///< Additional lines in every [runner].
    std::string rules;            ///< Lines of [rules]; empty: the default.
    std::string settings;         ///< Additional sections in every settings file.
    TlsContext daemon_tls;        ///< If set, requests to daemons use TLS.
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
  /// Kills a daemon or stand-in if it still runs and starts it again with the same command.
  void Restart(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Waits until the process exits; returns its exit code, or -1 if a signal terminated it.
  int Wait(const std::string& name);
  /// Returns the exit code if the process has ended, or the negative number of the signal that
  /// terminated it. Does not wait.
  std::optional<int> TryWait(const std::string& name);
  bool Running(const std::string& name);

  int port(const std::string& name) const { return ports_.at(name); }
  pid_t pid(const std::string& name) const { return processes_.at(name); }
  const std::string& inventory() const { return inventory_; }
  const std::string& directory() const { return directory_; }

  /// Puts an inventory into force with the operator command.
  void Apply(const std::string& inventory);
  /// Runs an operator command and returns its exit code; `output` receives its standard output and
  /// standard error.
  int RunOperatorCommand(const std::vector<std::string>& arguments, std::string* output = nullptr);
  /// Runs an operator command with --platform set to the deployment's platform.
  int RunPlatformCommand(std::vector<std::string> arguments, std::string* output = nullptr);
  /// Sets the platform's host list to all daemons; those in `leaving` are listed as leaving.
  void PublishHostList(const std::set<std::string>& leaving = {});
  /// Returns the names of all agents and entries.
  std::vector<std::string> Daemons() const;
  /// Returns the status that a daemon reports; empty if it does not respond.
  boost::json::object Status(const std::string& daemon);
  /// Returns the configuration revision that a daemon reports, or 0 if it does not respond.
  int64_t Revision(const std::string& daemon);
  bool AllAtRevision(int64_t revision);
  /// Sets the faults that a stand-in injects.
  void InjectFault(const std::string& name, const std::string& json);
  boost::json::object Stats(const std::string& name);

  /// Sends a completion request of team alpha.
  Reply Complete(const std::string& prompt, int max_tokens, const std::string& entry = "entry0");
  /// Calls the non-idempotent booking service as team alpha.
  Reply Book(const std::string& key, const std::string& body, const std::string& entry = "entry0");
  /// Returns the total number of executions that the replicas of the plain service recorded for
  /// `body`.
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
  std::vector<std::string> start_order_;
};

/// Returns a text of `token_count` tokens separated by white space that differs between seeds.
std::string MakePrompt(int token_count, int seed);

}  // namespace fuchsiaweir::testing

#endif  // FUCHSIAWEIR_TEST_PROCESS_DEPLOYMENT_H_
