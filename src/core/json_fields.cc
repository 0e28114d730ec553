#include "core/json_fields.h"

#include <absl/strings/str_cat.h>

#include <stdexcept>

#include "core/utf8.h"

namespace fuchsiaweir {

namespace json = boost::json;

namespace {

const json::value& Member(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) throw std::invalid_argument(absl::StrCat("\"", name, "\" is missing"));
  return *value;
}

std::invalid_argument WrongType(const char* name, const char* type) {
  return std::invalid_argument(absl::StrCat("\"", name, "\" must be ", type));
}

}  // namespace

json::parse_options TokenParseOptions() {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return options;
}

std::string DecodeErrorMessage(const std::exception& fault) {
  const auto* system = dynamic_cast<const boost::system::system_error*>(&fault);
  return system == nullptr ? fault.what() : system->code().message();
}

json::object ParseJsonObject(std::string_view text) {
  boost::system::error_code failure;
  json::value value =
      json::parse(json::string_view(text.data(), text.size()), failure, {}, TokenParseOptions());
  // The library's exceptions name places in its source, which say nothing to a caller.
  if (failure) throw std::invalid_argument("not valid JSON: " + failure.message());
  if (!value.is_object()) throw std::invalid_argument("not a JSON object");
  return std::move(value.as_object());
}

std::string StringField(const json::object& object, const char* name) {
  const json::value& value = Member(object, name);
  if (!value.is_string()) throw WrongType(name, "a string");
  return std::string(value.as_string());
}

int64_t IntegerField(const json::object& object, const char* name) {
  boost::system::error_code failure;
  const auto number = Member(object, name).to_number<int64_t>(failure);
  if (failure) throw WrongType(name, "an integer");
  return number;
}

bool BooleanField(const json::object& object, const char* name) {
  const json::value& value = Member(object, name);
  if (!value.is_bool()) throw WrongType(name, "true or false");
  return value.as_bool();
}

std::vector<std::string> StringListField(const json::object& object, const char* name) {
  const json::array& array = ArrayField(object, name);
  std::vector<std::string> strings;
  for (const json::value& item : array) {
    if (!item.is_string()) throw WrongType(name, "a list of strings");
    strings.emplace_back(item.as_string());
  }
  return strings;
}

const json::array& ArrayField(const json::object& object, const char* name) {
  const json::value& value = Member(object, name);
  if (!value.is_array()) throw WrongType(name, "a list");
  return value.as_array();
}

json::array ToJsonArray(const std::vector<std::string>& strings) {
  return json::array(strings.begin(), strings.end());
}

json::object ErrorToJson(const Error& error) {
  return {{"code", std::string(Name(error.code))},
          {"run_state", std::string(Name(error.run_state))},
          {"message", SanitizeUtf8(error.message, kMaxErrorMessageBytes)},
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
