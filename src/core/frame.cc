#include "core/frame.h"

#include <utility>

#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr std::pair<const char*, int64_t Usage::*> kUsageFields[] = {
    {"prompt_tokens", &Usage::prompt_tokens},
    {"cached_tokens", &Usage::cached_tokens},
    {"fetched_tokens", &Usage::fetched_tokens},
    {"recomputed_tokens", &Usage::recomputed_tokens},
    {"completion_tokens", &Usage::completion_tokens},
};

json::object EncodeUsage(const Usage& usage) {
  json::object object;
  for (const auto& [name, member] : kUsageFields) object[name] = usage.*member;
  return object;
}

Usage DecodeUsage(const json::object& object) {
  Usage usage;
  for (const auto& [name, member] : kUsageFields) usage.*member = IntegerField(object, name);
  return usage;
}

Frame DecodeObject(const json::object& object) {
  Frame frame;
  frame.run = StringField(object, "run");
  frame.attempt = IntegerField(object, "attempt");
  frame.offset = IntegerField(object, "offset");
  frame.tokens = StringListField(object, "text");
  frame.done = BooleanField(object, "done");
  if (frame.done) {
    frame.finish = StringField(object, "finish");
    frame.usage = DecodeUsage(object.at("usage").as_object());
  }
  if (const json::value* error = object.if_contains("error")) {
    frame.error = ErrorFromJson(error->as_object());
  }
  return frame;
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  json::object object{{"run", frame.run},
                      {"attempt", frame.attempt},
                      {"offset", frame.offset},
                      {"text", ToJsonArray(frame.tokens)},
                      {"done", frame.done}};
  if (frame.done) {
    object["finish"] = frame.finish;
    object["usage"] = EncodeUsage(frame.usage);
  }
  if (frame.error) object["error"] = ErrorToJson(*frame.error);
  return json::serialize(object) + "\n";
}

Result<Frame> DecodeFrame(std::string_view line) {
  try {
    return DecodeObject(ParseJsonObject(line));
  } catch (const std::exception& e) {
    return Error{ErrorCode::kIncompleteAnswer, RunState::kUnknown,
                 std::string("malformed frame: ") + DecodeErrorMessage(e), Duration{0}};
  }
}

}  // namespace fuchsiaweir
