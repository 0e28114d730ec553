#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kOutputTokens = 400;

Deployment::Options ShortTimeouts() {
  Deployment::Options options;
  options.rules = "progress_deadline_ms = 400\nattach_window_ms = 1000\n";
  return options;
}

/// Joins the text of the server-sent events of a completion. Returns "error" if one is an error.
std::string StreamedText(const Reply& reply) {
  std::string text;
  const std::vector<std::string> lines = absl::StrSplit(reply.body, '\n');
  for (const std::string& line : lines) {
    if (line.rfind("data: {", 0) != 0) continue;
    const boost::json::value event = boost::json::parse(line.substr(6));
    if (event.as_object().contains("error")) return "error";
    text += std::string(event.at("choices").at(0).at("text").as_string());
  }
  return text;
}

}  // namespace

TEST_GROUP(StreamSurvival) {
  Deployment deployment{ShortTimeouts()};
  std::string prompt = MakePrompt(30, 7);
  std::string expected;

  void setup() override {
    deployment.Start();
    const Reply reference = deployment.Complete(prompt, kOutputTokens);
    LONGS_EQUAL(200, reference.status);
    expected = std::string(reference.json().at("choices").at(0).at("text").as_string());
  }

  Reply Stream() {
    const boost::json::object body{
        {"model", "model"}, {"prompt", prompt}, {"max_tokens", kOutputTokens}, {"stream", true}};
    return Send("POST", deployment.port("entry0"), "/v1/completions", boost::json::serialize(body),
                {{"Authorization", "Bearer key-alpha"}});
  }

  /// Streams the prompt again. During the run, calls `inject_fault` with the number of the agent
  /// whose engine runs it.
  Reply StreamWithFault(const std::function<void(const std::string& number)>& inject_fault) {
    const int64_t before = Started("0");
    const int64_t total_before = before + Started("1");
    Reply reply;
    {
      const std::jthread caller([&]() { reply = Stream(); });
      if (Eventually([&]() { return Started("0") + Started("1") > total_before; })) {
        std::this_thread::sleep_for(Millis(150));
        inject_fault(Started("0") > before ? "0" : "1");
      }
    }
    return reply;
  }

  int64_t Started(const std::string& number) {
    return deployment.Stats("engine" + number).at("started").as_int64();
  }
};

// Guards against lost or duplicated tokens when a stream resumes on another runner.
TEST(StreamSurvival, AgentThatDiesLosesNoOutput) {
  const Reply reply = StreamWithFault(
      [&](const std::string& number) { deployment.Signal("agent" + number, SIGKILL); });
  LONGS_EQUAL(200, reply.status);
  STRCMP_EQUAL(expected.c_str(), StreamedText(reply).c_str());
}

// Guards against waiting for ever on an open connection without data.
TEST(StreamSurvival, SilentAgentLosesNoOutput) {
  const Reply reply = StreamWithFault(
      [&](const std::string& number) { deployment.Signal("agent" + number, SIGSTOP); });
  LONGS_EQUAL(200, reply.status);
  STRCMP_EQUAL(expected.c_str(), StreamedText(reply).c_str());
}

// Guards against waiting for ever on an engine that stops sending but keeps its connection open.
TEST(StreamSurvival, SilentEngineLosesNoOutput) {
  const Reply reply = StreamWithFault([&](const std::string& number) {
    deployment.InjectFault("engine" + number, R"({"silent":true})");
  });
  LONGS_EQUAL(200, reply.status);
  STRCMP_EQUAL(expected.c_str(), StreamedText(reply).c_str());
}

// Guards against a truncated response that looks complete when no runner is left.
TEST(StreamSurvival, StreamWithoutAnyRunnerEndsWithAnError) {
  const Reply reply = StreamWithFault([&](const std::string&) {
    deployment.Signal("agent0", SIGKILL);
    deployment.Signal("agent1", SIGKILL);
  });
  STRCMP_EQUAL("error", StreamedText(reply).c_str());
  CHECK(reply.body.find("[DONE]") == std::string::npos);
}

}  // namespace fuchsiaweir::testing
