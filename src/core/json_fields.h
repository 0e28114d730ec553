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

/// Returns parse options for messages with tokens, which accept invalid UTF-8: engines may split a
/// multi-byte character between two tokens.
boost::json::parse_options TokenParseOptions();

/// Returns the reason for a decoding failure, without the source location that the messages of
/// Boost exceptions contain.
std::string DecodeErrorMessage(const std::exception& exception);

/// Parses one JSON object. Throws std::invalid_argument for any other text.
boost::json::object ParseJsonObject(std::string_view text);

/// Return a member as the type in the function's name. Throw std::invalid_argument if the member is
/// missing or has another type; the message names the member and may be sent to callers.
std::string StringField(const boost::json::object& object, const char* name);
int64_t IntegerField(const boost::json::object& object, const char* name);
bool BooleanField(const boost::json::object& object, const char* name);
std::vector<std::string> StringListField(const boost::json::object& object, const char* name);
const boost::json::array& ArrayField(const boost::json::object& object, const char* name);

/// Returns the strings as a JSON array.
boost::json::array ToJsonArray(const std::vector<std::string>& strings);

/// Convert an error to and from its JSON form in internal messages.
boost::json::object ErrorToJson(const Error& error);
Error ErrorFromJson(const boost::json::object& object);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_JSON_FIELDS_H_
