#ifndef FUCHSIAWEIR_TEST_PROCESS_AGENT_CLIENT_H_
#define FUCHSIAWEIR_TEST_PROCESS_AGENT_CLIENT_H_

#include <future>
#include <optional>
#include <string>
#include <vector>

#include "core/frame.h"
#include "core/run_message.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {

/// What an agent answered to a run.
struct RunResponse {
  int status = 0;              ///< 0: the connection ended before a complete answer.
  std::optional<Error> error;  ///< Of the response or of the last frame.
  bool done = false;
  Usage usage;
  std::vector<std::string> tokens;
  int heartbeats = 0;  ///< Frames without news.
  bool exact = true;   ///< Each frame continued the one before it.
};

/// Speaks to agent0 as an entry does.
class AgentClient {
 public:
  explicit AgentClient(const Deployment& deployment) : port_(deployment.port("agent0")) {}

  /// Returns a run of team alpha on runner0 with this number of prompt tokens.
  static RunRequest MakeRun(const std::string& id, int prompt_tokens, int max_tokens);

  /// Sends the run and reads frames until they end or `timeout` closes the connection.
  RunResponse Post(const RunRequest& run, Duration timeout = Seconds(30)) const;
  std::future<RunResponse> PostAsync(RunRequest run) const;
  /// Sends the runs at the same time and returns their answers in order.
  std::vector<RunResponse> PostAll(const std::vector<RunRequest>& runs) const;
  RunResponse Attach(const RunRequest& run, int64_t offset) const;
  void Cancel(const RunRequest& run) const;

 private:
  int port_;
};

/// Reads a counter of an engine stand-in.
int64_t Counter(Deployment& deployment, const char* name, const std::string& engine = "engine0");

/// Runs short prompts until the gate of runner0 has let it have four runs at once.
void WarmUp(Deployment& deployment, const AgentClient& agent);

}  // namespace fuchsiaweir::testing

#endif  // FUCHSIAWEIR_TEST_PROCESS_AGENT_CLIENT_H_
