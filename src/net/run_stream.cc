#include "net/run_stream.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "net/peer_error.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kCancelTimeout = Seconds(1);
/// Delay before a new connection, for an agent whose process is being replaced.
constexpr Duration kReconnectDelay = Millis(20);
constexpr char kRunsPath[] = "/internal/v1/runs";

RunEvent FailedEvent(Error error, RequestStage stage) {
  RunEvent event;
  event.error = std::move(error);
  event.stage = stage;
  return event;
}

Error IncompleteAnswer(std::string message) {
  return {ErrorCode::kIncompleteAnswer, RunState::kUnknown, std::move(message), Duration{0}};
}

}  // namespace

RunStream::RunStream(HttpClient& client, Endpoint agent, StreamAssembly& assembly,
                     ProgressRules rules, TimePoint deadline)
    : client_(client),
      agent_(std::move(agent)),
      assembly_(assembly),
      rules_(rules),
      deadline_(deadline),
      progress_(rules, SteadyNow(), deadline) {}

std::string RunStream::RunTarget() const {
  return absl::StrCat(kRunsPath, "/", assembly_.run(), "?attempt=", assembly_.attempt());
}

Awaitable<RunEvent> RunStream::Open(RunRequest request) {
  HttpRequest message{"POST", kRunsPath, {}, EncodeRunRequest(request)};
  CallOptions options;
  options.timeout = rules_.silence_timeout;
  attempt_.OnConnecting();
  HttpStreamResult opened = co_await client_.OpenStream(agent_, std::move(message), options);
  if (opened.stage == CallStage::kNotConnected) {
    co_return FailedEvent(
        {ErrorCode::kTargetFailed, attempt_.outcome(), opened.failure, Duration{0}},
        attempt_.stage());
  }
  attempt_.OnConnected();
  attempt_.OnWriteStarting();
  if (opened.response) {
    Error refusal = DecodeErrorResponse(*opened.response);
    if (refusal.run_state == RunState::kNotRun) attempt_.OnRefused(/*by_engine=*/false);
    co_return FailedEvent(std::move(refusal), attempt_.stage());
  }
  if (opened.stream == nullptr) {
    progress_.OnConnectionLost();
    co_return co_await Reconnect(opened.failure);
  }
  attempt_.OnAnswerStarted();
  progress_.OnBytesReceived(SteadyNow());
  stream_ = std::move(opened.stream);
  RunEvent accepted;
  accepted.type = RunEvent::Type::kHeartbeat;
  co_return accepted;
}

RunEvent RunStream::ToEvent(const Frame& frame, Delivery delivery) {
  RunEvent event;
  event.tokens = std::move(delivery.tokens);
  event.type = event.tokens.empty() ? RunEvent::Type::kHeartbeat : RunEvent::Type::kTokens;
  if (!event.tokens.empty()) progress_.OnTokenReceived(SteadyNow());
  if (delivery.verdict == FrameVerdict::kFailed) {
    const bool refused = frame.error->run_state == RunState::kNotRun;
    const RequestStage stage =
        refused ? RequestStage::kRefusedBeforeDispatch : RequestStage::kAnswerIncomplete;
    event.type = RunEvent::Type::kFailed;
    event.error = *frame.error;
    event.stage = stage;
  } else if (assembly_.complete()) {
    attempt_.OnAnswerComplete();
    event.type = RunEvent::Type::kDone;
  }
  return event;
}

Awaitable<RunEvent> RunStream::Next() {
  const HttpStream::Line line = co_await stream_->ReadLine(rules_.silence_timeout);
  if (line.status != HttpStream::ReadStatus::kLine) {
    progress_.OnConnectionLost();
    co_return co_await Reconnect("the stream from the agent ended or timed out");
  }
  progress_.OnBytesReceived(SteadyNow());
  const Result<Frame> frame = DecodeFrame(line.text);
  if (!frame) {
    progress_.OnConnectionLost();
    co_return co_await Reconnect(frame.error().message);
  }
  Delivery delivery = assembly_.Accept(frame.value());
  if (delivery.verdict == FrameVerdict::kGap) {
    progress_.OnConnectionLost();
    co_return co_await Reconnect(absl::StrCat("the stream from the agent has a gap: got offset ",
                                              frame.value().offset, ", expected ",
                                              assembly_.position()));
  }
  co_return ToEvent(frame.value(), std::move(delivery));
}

Awaitable<HttpStreamResult> RunStream::Attach() {
  HttpRequest message;
  message.target = absl::StrCat(RunTarget(), "&offset=", assembly_.position());
  CallOptions options;
  options.timeout = rules_.silence_timeout;
  co_return co_await client_.OpenStream(agent_, std::move(message), options);
}

Awaitable<RunEvent> RunStream::Reconnect(std::string failure) {
  if (stream_ != nullptr) stream_->Close();
  while (progress_.Next(SteadyNow()) == HopAction::kReconnect) {
    co_await SleepFor(kReconnectDelay);
    HttpStreamResult attached = co_await Attach();
    if (attached.stream != nullptr) {
      stream_ = std::move(attached.stream);
      attempt_.OnAnswerStarted();
      progress_.OnBytesReceived(SteadyNow());
      RunEvent event;
      event.type = RunEvent::Type::kHeartbeat;
      co_return event;
    }
    // An agent that responds with an error no longer has the run; one that times out may have it.
    if (attached.response) break;
    progress_.OnConnectionLost();
  }
  co_return FailedEvent(IncompleteAnswer(std::move(failure)), attempt_.stage());
}

Awaitable<void> RunStream::Cancel() {
  if (stream_ != nullptr) stream_->Close();
  HttpRequest message;
  message.method = "DELETE";
  message.target = RunTarget();
  CallOptions options;
  options.timeout = kCancelTimeout;
  co_await client_.Call(agent_, std::move(message), options);
}

}  // namespace fuchsiaweir
