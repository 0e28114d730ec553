#include "net/model_router.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <optional>
#include <utility>

#include "core/rendezvous.h"
#include "net/log.h"
#include "net/peer_error.h"

namespace fuchsiaweir {
namespace {

constexpr int64_t kMaxAttempts = 4;

std::string NewRunId() {
  thread_local absl::BitGen generator;
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16),
                      absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16));
}

/// Splits text into tokens that begin at white space; joining them gives the text again.
std::vector<std::string> SplitTokens(const std::string& text) {
  std::vector<std::string> tokens;
  size_t begin = 0;
  while (begin < text.size()) {
    size_t end = text.find(' ', begin + 1);
    if (end == std::string::npos) end = text.size();
    tokens.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return tokens;
}

}  // namespace

struct ModelRouter::Session {
  HttpExchange& exchange;
  CompletionRequest request;
  Team team;
  std::shared_ptr<const ConfigSnapshot> config;
  std::string run;
  std::vector<std::string> prompt;
  std::vector<std::string> output;  ///< Tokens received so far.
  int64_t attempt = 0;
  bool done = false;
  bool caller_gone = false;
  std::string finish;
  Usage usage;
};

ModelRouter::ModelRouter(ConfigService& config, ServiceGate& gate, HttpClient& agents)
    : config_(config), gate_(gate), agents_(agents) {}

std::vector<Runner> ModelRouter::Candidates(const Session& session) const {
  const Inventory& inventory = session.config->inventory;
  std::vector<std::string> names;
  for (const Runner& runner : inventory.runners) {
    const bool fits = runner.model == session.request.model;
    if (fits && gate_.RunnerAccepts(runner.name)) names.push_back(runner.name);
  }
  const std::string key = absl::StrCat(session.team.name, "/", session.request.model, "/",
                                       session.request.prompt.substr(0, 256));
  std::vector<Runner> runners;
  for (const std::string& name : RendezvousTop(key, names, kMaxAttempts)) {
    runners.push_back(*FindByName(inventory.runners, name));
  }
  return runners;
}

Awaitable<void> ModelRouter::Serve(HttpExchange& exchange, CompletionRequest request, Team team) {
  Session session{exchange,
                  std::move(request),
                  std::move(team),
                  config_.current(),
                  NewRunId(),
                  {},
                  {},
                  0,
                  false,
                  false,
                  "",
                  {}};
  session.prompt = SplitTokens(session.request.prompt);
  if (FindByName(session.config->inventory.models, session.request.model) == nullptr) {
    co_return co_await Fail(session,
                            {ErrorCode::kUnknownModel, RunState::kNotRun,
                             "unknown model \"" + session.request.model + "\"", Duration{0}});
  }
  std::optional<Error> failure = Error{ErrorCode::kNoTarget, RunState::kNotRun,
                                       "no runner in service has the model", Seconds(1)};
  const std::vector<Runner> candidates = Candidates(session);
  for (const Runner& runner : candidates) {
    const Host* host = FindByName(session.config->inventory.hosts, runner.host);
    ++session.attempt;
    failure = co_await RunAttempt(session, runner, *host);
    if (!failure || session.caller_gone) break;
    LogWarning("attempt_failed",
               {{"run", session.run}, {"runner", runner.name}, {"reason", failure->message}});
  }
  if (session.caller_gone) co_return;
  if (failure) co_return co_await Fail(session, *failure);
  co_await Finish(session);
}

Awaitable<std::optional<Error>> ModelRouter::RunAttempt(Session& session, Runner runner,
                                                        Host host) {
  const Rules& rules = session.config->inventory.rules;
  RunRequest run;
  run.run = session.run;
  run.attempt = session.attempt;
  run.runner = runner.name;
  run.team = session.team.name;
  run.model = session.request.model;
  run.prompt = session.prompt;
  run.produced = session.output;
  run.max_tokens = session.request.max_tokens;
  run.priority = session.request.priority;
  run.deadline_ms = rules.request_deadline_ms;
  HttpRequest message;
  message.method = "POST";
  message.target = "/internal/v1/runs";
  message.body = EncodeRunRequest(run);
  CallOptions options;
  options.timeout = Millis(rules.request_deadline_ms);
  const Endpoint agent{host.address, static_cast<uint16_t>(host.port)};
  HttpStreamResult opened = co_await agents_.OpenStream(agent, std::move(message), options);
  if (opened.response) co_return DecodeErrorResponse(*opened.response);
  if (opened.stream == nullptr) {
    co_return Error{ErrorCode::kTargetFailed, RunState::kUnknown, opened.failure, Duration{0}};
  }
  while (true) {
    const HttpStream::Line line =
        co_await opened.stream->ReadLine(Millis(rules.progress_deadline_ms));
    if (line.status != HttpStream::ReadStatus::kLine) {
      co_return Error{ErrorCode::kIncompleteAnswer, RunState::kUnknown,
                      "the stream from the agent ended early", Duration{0}};
    }
    Result<Frame> frame = DecodeFrame(line.text);
    if (!frame) co_return frame.error();
    const Frame& received = frame.value();
    if (received.run != session.run || received.attempt != session.attempt) continue;
    if (received.offset != static_cast<int64_t>(session.output.size())) {
      co_return Error{ErrorCode::kIncompleteAnswer, RunState::kUnknown,
                      "the stream from the agent has a gap", Duration{0}};
    }
    if (!co_await Deliver(session, received.tokens)) {
      session.caller_gone = true;
      co_return std::nullopt;
    }
    if (received.error) co_return received.error;
    if (received.done) {
      session.finish = received.finish;
      session.usage = received.usage;
      co_return std::nullopt;
    }
  }
}

Awaitable<bool> ModelRouter::Deliver(Session& session, const std::vector<std::string>& tokens) {
  session.output.insert(session.output.end(), tokens.begin(), tokens.end());
  if (session.exchange.peer_gone()) co_return false;
  if (tokens.empty() || !session.request.stream) co_return true;
  if (!session.exchange.streaming()) {
    HttpHeaders headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
    const bool begun = co_await session.exchange.BeginStream(200, std::move(headers));
    if (!begun) co_return false;
  }
  std::string event = RenderTextEvent(session.request, session.run, absl::StrJoin(tokens, ""));
  co_return co_await session.exchange.WriteChunk(std::move(event));
}

Awaitable<void> ModelRouter::Finish(Session& session) {
  HttpExchange& exchange = session.exchange;
  if (!session.request.stream) {
    HttpResponse response = JsonResponse(
        200, RenderCompletion(session.request, session.run, absl::StrJoin(session.output, ""),
                              session.finish, session.usage));
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  if (!exchange.streaming()) {
    HttpHeaders headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
    co_await exchange.BeginStream(200, std::move(headers));
  }
  std::string events =
      RenderFinalEvents(session.request, session.run, session.finish, session.usage);
  co_await exchange.WriteChunk(std::move(events));
  co_await exchange.EndStream();
}

Awaitable<void> ModelRouter::Fail(Session& session, Error error) {
  if (session.exchange.streaming()) {
    std::string event = RenderErrorEvent(error);
    co_await session.exchange.WriteChunk(std::move(event));
    co_await session.exchange.EndStream();
    co_return;
  }
  HttpResponse response = ErrorResponse(error);
  co_await session.exchange.Respond(std::move(response));
}

}  // namespace fuchsiaweir
