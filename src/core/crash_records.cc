#include "core/crash_records.h"

#include <exception>
#include <utility>

#include "core/json_fields.h"

namespace fuchsiaweir {

namespace json = boost::json;

std::string EncodeCrashRecords(const CrashRecords& records) {
  json::object object;
  for (const auto& [digest, record] : records) {
    const std::vector<std::string> crashes(record.crashes.begin(), record.crashes.end());
    object[digest] = json::object{{"crashes", ToJsonArray(crashes)}, {"last_ms", record.last_ms}};
  }
  return json::serialize(object);
}

Result<CrashRecords> DecodeCrashRecords(std::string_view text) {
  try {
    CrashRecords records;
    const json::object object = ParseJsonObject(text);
    for (const auto& [digest, value] : object) {
      const json::object& fields = value.as_object();
      const std::vector<std::string> crashes = StringListField(fields, "crashes");
      CrashRecord record;
      record.crashes.insert(crashes.begin(), crashes.end());
      record.last_ms = IntegerField(fields, "last_ms");
      records.emplace(std::string(digest), std::move(record));
    }
    return records;
  } catch (const std::exception& e) {
    return Error{ErrorCode::kBadRequest, RunState::kNotRun,
                 std::string("malformed crash records: ") + DecodeErrorMessage(e)};
  }
}

}  // namespace fuchsiaweir
