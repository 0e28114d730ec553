#include "core/config_document.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

#include "core/findings.h"
#include "core/ini_document.h"
#include "core/inventory.h"
#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

struct RecordField {
  const char* name;
  std::string AuditRecord::*member;
  size_t max_bytes;
};

constexpr RecordField kRecordFields[] = {
    {"who", &AuditRecord::who, kMaxAuditNameBytes},
    {"when", &AuditRecord::when, kMaxAuditNameBytes},
    {"what", &AuditRecord::what, kMaxAuditTextBytes},
    {"nonce", &AuditRecord::nonce, kMaxAuditNameBytes},
};

json::object EncodeRecord(const AuditRecord& record) {
  json::object object{{"old_revision", record.old_revision}, {"new_revision", record.new_revision}};
  for (const RecordField& field : kRecordFields) object[field.name] = record.*field.member;
  return object;
}

json::array EncodeRecords(const std::vector<AuditRecord>& records) {
  json::array array;
  for (const AuditRecord& record : records) array.push_back(EncodeRecord(record));
  return array;
}

AuditRecord DecodeRecord(const json::object& object) {
  AuditRecord record;
  record.old_revision = object.at("old_revision").to_number<int64_t>();
  record.new_revision = object.at("new_revision").to_number<int64_t>();
  for (const RecordField& field : kRecordFields) {
    record.*field.member = std::string(object.at(field.name).as_string());
  }
  return record;
}

std::vector<AuditRecord> DecodeRecords(const json::array& array) {
  std::vector<AuditRecord> records;
  for (const json::value& value : array) {
    AuditRecord record = DecodeRecord(value.as_object());
    const bool follows = record.new_revision == record.old_revision + 1 &&
                         (records.empty() || records.back().new_revision == record.old_revision);
    if (!follows) {
      throw std::runtime_error(
          absl::StrCat("audit record of revision ", record.new_revision, " leaves a gap"));
    }
    records.push_back(std::move(record));
  }
  return records;
}

ConfigDocument DecodeDocumentObject(const json::object& object) {
  ConfigDocument document;
  document.revision = object.at("revision").to_number<int64_t>();
  document.inventory_ini = std::string(object.at("inventory").as_string());
  document.audit_pages = object.at("audit_pages").to_number<int64_t>();
  document.audit = DecodeRecords(object.at("audit").as_array());
  const int64_t last = document.audit.empty() ? 0 : document.audit.back().new_revision;
  if (document.revision < 0 || document.audit_pages < 0 || document.revision != last) {
    throw std::runtime_error(
        absl::StrCat("revision ", document.revision, " differs from its last audit record ", last));
  }
  return document;
}

AuditPage DecodePageObject(const json::object& object) {
  AuditPage page;
  page.number = object.at("number").to_number<int64_t>();
  page.records = DecodeRecords(object.at("records").as_array());
  if (page.records.empty()) throw std::runtime_error("audit page has no records");
  return page;
}

template <typename T>
Result<T> Decode(std::string_view text, const char* what, T (*decode)(const json::object&)) {
  try {
    // Comments in an inventory may be in another encoding than UTF-8.
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    return decode(
        json::parse(json::string_view(text.data(), text.size()), {}, options).as_object());
  } catch (const std::exception& e) {
    return Error{ErrorCode::kIncompleteAnswer, RunState::kUnknown,
                 absl::StrCat("malformed ", what, ": ", DecodeErrorMessage(e))};
  }
}

bool IsControl(char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }

/// Returns what is wrong with the record, or an empty string. Control characters would grow up to
/// six times in JSON and garble the operator's terminal.
std::string RecordFault(const AuditRecord& record) {
  for (const RecordField& field : kRecordFields) {
    const std::string& value = record.*field.member;
    if (value.empty()) return absl::StrCat("audit field \"", field.name, "\" is empty");
    if (value.size() > field.max_bytes) {
      return absl::StrCat("audit field \"", field.name, "\" has ", value.size(),
                          " bytes; allowed are ", field.max_bytes);
    }
    if (std::any_of(value.begin(), value.end(), IsControl)) {
      return absl::StrCat("audit field \"", field.name, "\" has a control character");
    }
  }
  return "";
}

std::string InventoryFault(const std::string& text) {
  Findings findings;
  const IniDocument document = ParseIni(text, "inventory", findings);
  ParseInventory(document, findings);
  return findings.ToString();
}

ChangeOutcome SettleInRecords(const std::vector<AuditRecord>& records, const AuditRecord& record) {
  for (const AuditRecord& candidate : records) {
    if (candidate.new_revision != record.new_revision) continue;
    return candidate.nonce == record.nonce ? ChangeOutcome::kAccepted : ChangeOutcome::kConflict;
  }
  return ChangeOutcome::kOlderPage;
}

/// Moves the oldest records to a page when the document is full. Only records of accepted changes
/// move and pages are filled in order, so that racing operators create the same page.
std::optional<AuditPage> MoveToPage(ConfigDocument& document, const AuditLimits& limits) {
  if (document.audit.size() < limits.kept_records) return std::nullopt;
  const auto end = document.audit.begin() +
                   static_cast<ptrdiff_t>(std::min(limits.page_records, document.audit.size()));
  AuditPage page{document.audit_pages, {document.audit.begin(), end}};
  document.audit.erase(document.audit.begin(), end);
  ++document.audit_pages;
  return page;
}

}  // namespace

Result<ConfigUpdate> ApplyChange(const ConfigDocument& current, const ConfigChange& change,
                                 const AuditLimits& limits) {
  if (current.revision != change.base_revision) {
    return Error{ErrorCode::kConflict, RunState::kNotRun,
                 absl::StrCat("change is based on revision ", change.base_revision,
                              ", but revision ", current.revision, " is in force")};
  }
  const AuditRecord record{change.who,   change.when,      change.what,
                           change.nonce, current.revision, current.revision + 1};
  std::string fault = RecordFault(record);
  if (fault.empty()) fault = InventoryFault(change.inventory_ini);
  if (!fault.empty()) return Error{ErrorCode::kBadRequest, RunState::kNotRun, fault};

  ConfigUpdate update;
  update.document = current;
  update.page = MoveToPage(update.document, limits);
  update.document.audit.push_back(record);
  update.document.revision = record.new_revision;
  update.document.inventory_ini = change.inventory_ini;
  const size_t bytes = EncodeConfigDocument(update.document).size();
  if (bytes > kMaxConfigBytes) {
    return Error{
        ErrorCode::kTooLarge, RunState::kNotRun,
        absl::StrCat("configuration would have ", bytes, " bytes; allowed are ", kMaxConfigBytes)};
  }
  return update;
}

ChangeOutcome DetermineChangeOutcome(const ConfigDocument& current, const AuditRecord& record) {
  // The condition of a delayed write still holds while the base revision is in force.
  if (current.revision < record.new_revision) return ChangeOutcome::kUndecided;
  return SettleInRecords(current.audit, record);
}

ChangeOutcome DetermineChangeOutcome(const AuditPage& page, const AuditRecord& record) {
  return SettleInRecords(page.records, record);
}

std::string AuditPageObject(int64_t number) { return absl::StrCat("audit/", number); }

std::string EncodeConfigDocument(const ConfigDocument& document) {
  return json::serialize(json::object{{"revision", document.revision},
                                      {"inventory", document.inventory_ini},
                                      {"audit_pages", document.audit_pages},
                                      {"audit", EncodeRecords(document.audit)}});
}

Result<ConfigDocument> DecodeConfigDocument(std::string_view text) {
  return Decode(text, "configuration document", &DecodeDocumentObject);
}

std::string EncodeAuditPage(const AuditPage& page) {
  return json::serialize(
      json::object{{"number", page.number}, {"records", EncodeRecords(page.records)}});
}

Result<AuditPage> DecodeAuditPage(std::string_view text) {
  return Decode(text, "audit page", &DecodePageObject);
}

}  // namespace fuchsiaweir
