#include "process/agent_client.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <stdexcept>
#include <utility>

#include "net/peer_error.h"

namespace fuchsiaweir::testing {
namespace {

RunResponse ToAnswer(const Reply& reply, int64_t offset) {
  RunResponse answer;
  answer.status = reply.status;
  if (reply.status == 0) return answer;
  if (reply.status != 200) {
    answer.error = DecodeErrorResponse({reply.status, reply.headers, reply.body});
    return answer;
  }
  for (const std::string& line : std::vector<std::string>(absl::StrSplit(reply.body, '\n'))) {
    if (line.empty()) continue;
    const Frame frame = DecodeFrame(line).value();
    answer.exact = answer.exact && frame.offset == offset;
    offset += static_cast<int64_t>(frame.tokens.size());
    answer.tokens.insert(answer.tokens.end(), frame.tokens.begin(), frame.tokens.end());
    if (frame.tokens.empty() && !frame.done && !frame.error) ++answer.heartbeats;
    answer.done = frame.done;
    answer.error = frame.error;
    answer.usage = frame.usage;
  }
  return answer;
}

std::string RunPath(const RunRequest& run) {
  return absl::StrCat("/internal/v1/runs/", run.run, "?attempt=", run.attempt);
}

}  // namespace

RunRequest AgentClient::MakeRun(const std::string& id, int prompt_tokens, int max_tokens) {
  RunRequest run;
  run.run = id;
  run.runner = "runner0";
  run.team = "alpha";
  run.model = "model";
  for (int i = 0; i < prompt_tokens; ++i) run.prompt.push_back(absl::StrCat(" ", id, ".", i));
  run.max_tokens = max_tokens;
  run.priority = 1;
  run.deadline_ms = 60'000;
  return run;
}

RunResponse AgentClient::Post(const RunRequest& run, Duration timeout) const {
  return ToAnswer(Send("POST", port_, "/internal/v1/runs", EncodeRunRequest(run), {}, timeout),
                  static_cast<int64_t>(run.produced.size()));
}

std::future<RunResponse> AgentClient::PostAsync(RunRequest run) const {
  return std::async(std::launch::async,
                    [client = *this, run = std::move(run)]() { return client.Post(run); });
}

std::vector<RunResponse> AgentClient::PostAll(const std::vector<RunRequest>& runs) const {
  std::vector<std::future<RunResponse>> pending;
  for (const RunRequest& run : runs) pending.push_back(PostAsync(run));
  std::vector<RunResponse> answers;
  for (std::future<RunResponse>& answer : pending) answers.push_back(answer.get());
  return answers;
}

RunResponse AgentClient::Attach(const RunRequest& run, int64_t offset) const {
  return ToAnswer(Send("GET", port_, absl::StrCat(RunPath(run), "&offset=", offset)), offset);
}

void AgentClient::Cancel(const RunRequest& run) const { Send("DELETE", port_, RunPath(run)); }

int64_t Counter(Deployment& deployment, const char* name, const std::string& engine) {
  return deployment.Stats(engine).at(name).to_number<int64_t>();
}

void WarmUp(Deployment& deployment, const AgentClient& agent) {
  const auto warm = [&]() {
    static int id = 0;
    std::vector<RunRequest> runs;
    for (int i = 0; i < 12; ++i) {
      runs.push_back(AgentClient::MakeRun(absl::StrCat("warm", id++), 5, 30));
    }
    agent.PostAll(runs);
    return Counter(deployment, "max_running") >= 4;
  };
  if (!Eventually(warm)) throw std::runtime_error("runner0 did not become warm");
}

}  // namespace fuchsiaweir::testing
