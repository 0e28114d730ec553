#include "core/json_fields.h"

namespace fuchsiaweir {

namespace json = boost::json;

json::parse_options TokenParseOptions() {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return options;
}

json::object ParseJsonObject(std::string_view text) {
  return json::parse(json::string_view(text.data(), text.size()), {}, TokenParseOptions())
      .as_object();
}

std::string StringField(const json::object& object, const char* name) {
  return std::string(object.at(name).as_string());
}

int64_t IntegerField(const json::object& object, const char* name) {
  return object.at(name).to_number<int64_t>();
}

bool BooleanField(const json::object& object, const char* name) {
  return object.at(name).as_bool();
}

std::vector<std::string> StringsField(const json::object& object, const char* name) {
  std::vector<std::string> strings;
  for (const json::value& item : object.at(name).as_array()) strings.emplace_back(item.as_string());
  return strings;
}

json::array ToJsonArray(const std::vector<std::string>& strings) {
  return json::array(strings.begin(), strings.end());
}

json::object ErrorToJson(const Error& error) {
  return {{"code", std::string(Name(error.code))},
          {"run_state", std::string(Name(error.run_state))},
          {"message", error.message},
          {"retry_after_ms", ToMillis(error.retry_after)},
          {"crashed_instance", error.crashed_instance}};
}

Error ErrorFromJson(const json::object& object) {
  Error error;
  error.code = ErrorCodeFromName(StringField(object, "code")).value_or(ErrorCode::kInternal);
  error.run_state = RunStateFromName(StringField(object, "run_state")).value_or(RunState::kUnknown);
  error.message = StringField(object, "message");
  error.retry_after = Millis(IntegerField(object, "retry_after_ms"));
  // Processes of an earlier version send no such field.
  if (object.contains("crashed_instance")) {
    error.crashed_instance = StringField(object, "crashed_instance");
  }
  return error;
}

}  // namespace fuchsiaweir
