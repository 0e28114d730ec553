#include "net/http_types.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace fuchsiaweir {
namespace {

/// Returns the value of a hexadecimal digit, or -1 for any other character.
int HexDigitValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool IsUnreserved(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '.' || c == '_' ||
         c == '~';
}

/// Replaces the escapes of the bytes for which `decodes` holds, and keeps the others as they are.
std::string PercentDecode(std::string_view text, bool (*decodes)(char)) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() && HexDigitValue(text[i + 1]) >= 0 &&
                        HexDigitValue(text[i + 2]) >= 0;
    if (!escape) {
      decoded.push_back(text[i]);
      continue;
    }
    const auto byte =
        static_cast<char>(HexDigitValue(text[i + 1]) * 16 + HexDigitValue(text[i + 2]));
    if (decodes(byte)) {
      decoded.push_back(byte);
    } else {
      decoded.append(text.substr(i, 3));
    }
    i += 2;
  }
  return decoded;
}

std::string PercentDecode(std::string_view text) {
  return PercentDecode(text, [](char) { return true; });
}

}  // namespace

std::string HeaderValue(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (absl::EqualsIgnoreCase(field, std::string(name))) return value;
  }
  return "";
}

Endpoint ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == std::string_view::npos ||
      !absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) || port > 65'535) {
    return {std::string(text), 0};
  }
  return {std::string(text.substr(0, colon)), static_cast<uint16_t>(port)};
}

std::string ToString(const Endpoint& endpoint) {
  return absl::StrCat(endpoint.address, ":", endpoint.port);
}

std::string HttpTarget::Query(std::string_view name, std::string fallback) const {
  for (const auto& [key, value] : query) {
    if (key == name) return value;
  }
  return fallback;
}

int64_t HttpTarget::QueryInteger(std::string_view name, int64_t fallback) const {
  int64_t value = 0;
  return absl::SimpleAtoi(Query(name), &value) ? value : fallback;
}

HttpTarget ParseTarget(std::string_view target) {
  HttpTarget parsed;
  const size_t question = target.find('?');
  parsed.path = PercentDecode(target.substr(0, question));
  parsed.routed_path = PercentDecode(target.substr(0, question), IsUnreserved);
  if (question == std::string_view::npos) return parsed;
  const std::string query(target.substr(question + 1));
  for (const std::string& pair : std::vector<std::string>(absl::StrSplit(query, '&'))) {
    const size_t equals = pair.find('=');
    if (equals == std::string::npos) continue;
    parsed.query.emplace_back(PercentDecode(pair.substr(0, equals)),
                              PercentDecode(pair.substr(equals + 1)));
  }
  return parsed;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
    } else {
      absl::StrAppend(&encoded, "%", absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
    }
  }
  return encoded;
}

}  // namespace fuchsiaweir
