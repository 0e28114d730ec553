#include "core/completion_api.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr int64_t kMaxOutputTokens = 1'000'000;
constexpr int64_t kMaxPriority = 10;

Error BadRequest(std::string message) {
  return {ErrorCode::kBadRequest, RunState::kNotRun, std::move(message), Duration{0}};
}

/// Names that differ between the two endpoints.
struct KindNames {
  const char* object;
  const char* chunk_object;
  const char* id_prefix;
};

const KindNames& NamesOf(CompletionKind kind) {
  static constexpr KindNames kText{"text_completion", "text_completion", "cmpl-"};
  static constexpr KindNames kChat{"chat.completion", "chat.completion.chunk", "chatcmpl-"};
  return kind == CompletionKind::kText ? kText : kChat;
}

std::string JoinMessages(const json::array& messages) {
  std::string prompt;
  for (const json::value& item : messages) {
    if (!item.is_object()) throw std::invalid_argument("a message is not a JSON object");
    const json::object& message = item.as_object();
    absl::StrAppend(&prompt, StringField(message, "role"), ": ", StringField(message, "content"),
                    "\n");
  }
  return prompt;
}

std::string ParsePrompt(CompletionKind kind, const json::object& object) {
  if (kind == CompletionKind::kText) return StringField(object, "prompt");
  return JoinMessages(ArrayField(object, "messages"));
}

Result<CompletionRequest> CheckRanges(CompletionRequest request) {
  if (request.prompt.empty()) return BadRequest("the prompt is empty");
  if (request.max_tokens < 1 || request.max_tokens > kMaxOutputTokens) {
    return BadRequest(absl::StrCat("\"max_tokens\" is ", request.max_tokens, "; allowed is 1 to ",
                                   kMaxOutputTokens));
  }
  if (request.priority < -kMaxPriority || request.priority > kMaxPriority) {
    return BadRequest(absl::StrCat("\"priority\" is ", request.priority, "; allowed is ",
                                   -kMaxPriority, " to ", kMaxPriority));
  }
  return request;
}

json::object UsageToJson(const Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"cached_tokens", usage.cached_tokens},
          {"fetched_tokens", usage.fetched_tokens},
          {"recomputed_tokens", usage.recomputed_tokens}};
}

json::object Choice(const CompletionRequest& request, const std::string& text, bool chunk) {
  json::object choice{{"index", 0}, {"finish_reason", nullptr}};
  if (request.kind == CompletionKind::kText) {
    choice["text"] = text;
  } else {
    choice[chunk ? "delta" : "message"] = json::object{{"role", "assistant"}, {"content", text}};
  }
  return choice;
}

json::object Envelope(const CompletionRequest& request, const std::string& id, const char* object,
                      json::object choice) {
  return {{"id", NamesOf(request.kind).id_prefix + id},
          {"object", object},
          {"model", request.model},
          {"choices", json::array{std::move(choice)}}};
}

std::string Event(const json::object& object) {
  return absl::StrCat("data: ", json::serialize(object), "\n\n");
}

}  // namespace

Result<CompletionRequest> ParseCompletionRequest(CompletionKind kind, std::string_view body) {
  try {
    const json::object object = ParseJsonObject(body);
    CompletionRequest request;
    request.kind = kind;
    request.model = StringField(object, "model");
    request.prompt = ParsePrompt(kind, object);
    if (object.contains("max_tokens")) request.max_tokens = IntegerField(object, "max_tokens");
    if (object.contains("stream")) request.stream = BooleanField(object, "stream");
    if (object.contains("priority")) request.priority = IntegerField(object, "priority");
    return CheckRanges(std::move(request));
  } catch (const std::exception& e) {
    const char* required =
        kind == CompletionKind::kText ? "model and prompt" : "model and messages";
    return BadRequest(absl::StrCat("the body must be a JSON object with ", required, ": ",
                                   DecodeErrorMessage(e)));
  }
}

std::string RenderCompletion(const CompletionRequest& request, const std::string& id,
                             const std::string& text, const std::string& finish,
                             const Usage& usage) {
  json::object choice = Choice(request, text, /*chunk=*/false);
  choice["finish_reason"] = finish;
  json::object body = Envelope(request, id, NamesOf(request.kind).object, std::move(choice));
  body["usage"] = UsageToJson(usage);
  return json::serialize(body);
}

std::string RenderTextEvent(const CompletionRequest& request, const std::string& id,
                            const std::string& text) {
  return Event(Envelope(request, id, NamesOf(request.kind).chunk_object,
                        Choice(request, text, /*chunk=*/true)));
}

std::string RenderFinalEvents(const CompletionRequest& request, const std::string& id,
                              const std::string& finish, const Usage& usage) {
  json::object choice = Choice(request, "", /*chunk=*/true);
  choice["finish_reason"] = finish;
  json::object body = Envelope(request, id, NamesOf(request.kind).chunk_object, std::move(choice));
  body["usage"] = UsageToJson(usage);
  return Event(body) + "data: [DONE]\n\n";
}

std::string RenderErrorEvent(const Error& error) {
  json::object body = ErrorToJson(error);
  body.erase("retry_after_ms");
  return Event({{"error", std::move(body)}});
}

std::string RenderModels(const std::vector<Model>& models) {
  json::array data;
  for (const Model& model : models) {
    data.push_back(
        json::object{{"id", model.name}, {"object", "model"}, {"version", model.version}});
  }
  return json::serialize(json::object{{"object", "list"}, {"data", std::move(data)}});
}

}  // namespace fuchsiaweir
