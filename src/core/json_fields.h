#ifndef FUCHSIAWEIR_CORE_JSON_FIELDS_H_
#define FUCHSIAWEIR_CORE_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// Returns the options for messages that carry tokens: engines may split a multi-byte character
/// over two tokens, so strings need not be valid UTF-8.
boost::json::parse_options TokenParseOptions();

/// Returns why decoding failed, without the place in a library's source that its exceptions name.
std::string DecodeErrorMessage(const std::exception& fault);

/// Parses text that must be one JSON object. Throws std::invalid_argument otherwise.
boost::json::object ParseJsonObject(std::string_view text);

/// Returns the member as a string, integer, boolean or list. A missing member or one of another
/// type throws std::invalid_argument, whose message names the member and is fit for callers.
std::string StringField(const boost::json::object& object, const char* name);
int64_t IntegerField(const boost::json::object& object, const char* name);
bool BooleanField(const boost::json::object& object, const char* name);
std::vector<std::string> StringListField(const boost::json::object& object, const char* name);
const boost::json::array& ArrayField(const boost::json::object& object, const char* name);

/// Returns the strings as a JSON array.
boost::json::array ToJsonArray(const std::vector<std::string>& strings);

/// Returns the JSON form of an error in internal messages and its inverse.
boost::json::object ErrorToJson(const Error& error);
Error ErrorFromJson(const boost::json::object& object);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_JSON_FIELDS_H_
