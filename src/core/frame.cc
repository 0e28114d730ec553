#include "core/frame.h"

#include <boost/json.hpp>
#include <utility>

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
  for (const auto& [name, member] : kUsageFields)
    usage.*member = object.at(name).to_number<int64_t>();
  return usage;
}

json::object EncodeError(const Error& error) {
  return {{"code", std::string(Name(error.code))},
          {"run_state", std::string(Name(error.run_state))},
          {"message", error.message},
          {"retry_after_ms", ToMillis(error.retry_after)}};
}

Error DecodeError(const json::object& object) {
  Error error;
  error.code =
      ErrorCodeFromName(std::string(object.at("code").as_string())).value_or(ErrorCode::kInternal);
  error.run_state = RunStateFromName(std::string(object.at("run_state").as_string()))
                        .value_or(RunState::kUnknown);
  error.message = std::string(object.at("message").as_string());
  error.retry_after = Millis(object.at("retry_after_ms").to_number<int64_t>());
  return error;
}

Frame DecodeObject(const json::object& object) {
  Frame frame;
  frame.run = std::string(object.at("run").as_string());
  frame.attempt = object.at("attempt").to_number<int64_t>();
  frame.offset = object.at("offset").to_number<int64_t>();
  for (const json::value& token : object.at("text").as_array()) {
    frame.tokens.emplace_back(token.as_string());
  }
  frame.done = object.at("done").as_bool();
  if (frame.done) {
    frame.finish = std::string(object.at("finish").as_string());
    frame.usage = DecodeUsage(object.at("usage").as_object());
  }
  if (const json::value* error = object.if_contains("error")) {
    frame.error = DecodeError(error->as_object());
  }
  return frame;
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  json::object object{{"run", frame.run},
                      {"attempt", frame.attempt},
                      {"offset", frame.offset},
                      {"text", json::array(frame.tokens.begin(), frame.tokens.end())},
                      {"done", frame.done}};
  if (frame.done) {
    object["finish"] = frame.finish;
    object["usage"] = EncodeUsage(frame.usage);
  }
  if (frame.error) object["error"] = EncodeError(*frame.error);
  return json::serialize(object) + "\n";
}

Result<Frame> DecodeFrame(std::string_view line) {
  try {
    // Engines may split a multi-byte character over two tokens.
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    return DecodeObject(
        json::parse(json::string_view(line.data(), line.size()), {}, options).as_object());
  } catch (const std::exception& e) {
    return Error{ErrorCode::kIncompleteAnswer, RunState::kUnknown,
                 std::string("malformed frame: ") + e.what()};
  }
}

}  // namespace fuchsiaweir
