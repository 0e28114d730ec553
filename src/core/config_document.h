#ifndef FUCHSIAWEIR_CORE_CONFIG_DOCUMENT_H_
#define FUCHSIAWEIR_CORE_CONFIG_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// Name of the platform object that holds the configuration.
inline constexpr char kConfigObject[] = "config/current";

/// Maximum size of an encoded document; the object API accepts values of up to 1 MB.
inline constexpr size_t kMaxConfigBytes = 1'000'000;

/// Maximum size of each of an audit record's `who`, `when` and `nonce`, and of its `what`.
inline constexpr size_t kMaxAuditNameBytes = 128;
inline constexpr size_t kMaxAuditTextBytes = 512;

/// Audit record of one change. Each revision has exactly one, whose `new_revision` is its number.
struct AuditRecord {
  std::string who;
  std::string when;  ///< Wall-clock time of the operator's command, RFC 3339 in UTC.
  std::string what;
  std::string nonce;  ///< Random; identifies the change when the response to its write is lost.
  int64_t old_revision = 0;
  int64_t new_revision = 0;

  bool operator==(const AuditRecord&) const = default;
};

/// Records moved out of the document, oldest first; stored in the platform object `audit/NUMBER`.
struct AuditPage {
  int64_t number = 0;
  std::vector<AuditRecord> records;

  bool operator==(const AuditPage&) const = default;
};

/// Content of the configuration object. Revision 0 means that the platform has no configuration.
struct ConfigDocument {
  int64_t revision = 0;
  std::string inventory_ini;
  int64_t audit_pages = 0;         ///< Pages 0 to audit_pages - 1 exist.
  std::vector<AuditRecord> audit;  ///< Oldest first, without gaps, up to `revision`.

  bool operator==(const ConfigDocument&) const = default;
};

/// An operator's change, based on the revision that the operator has read.
struct ConfigChange {
  int64_t base_revision = 0;
  std::string who;
  std::string when;
  std::string what;
  std::string nonce;
  std::string inventory_ini;
};

/// The writes that apply a change.
struct ConfigUpdate {
  /// Must be created before `document` is written. An existing page with this number has the same
  /// records.
  std::optional<AuditPage> page;
  /// Must be written on the condition that the object has not changed since it was read.
  ConfigDocument document;
};

/// Limits on the records in the document. When a document has `max_records`, the next change moves
/// the oldest `page_records` to a page.
struct AuditLimits {
  size_t max_records = 256;
  size_t page_records = 128;
};

/// Applies a change. Fails with kConflict when `current` is not at the base revision, with
/// kBadRequest when the inventory or a field of the record is invalid, and with kTooLarge when the
/// encoded document would exceed kMaxConfigBytes.
Result<ConfigUpdate> ApplyChange(const ConfigDocument& current, const ConfigChange& change,
                                 const AuditLimits& limits = {});

/// Outcome of a change whose write got no response, determined from a later read of the document.
enum class ChangeOutcome {
  kAccepted,   ///< The change took effect.
  kConflict,   ///< Another change has its revision number; the change never takes effect.
  kUndecided,  ///< The write may still arrive: retry the same conditional write, then check again.
  kOlderPage,  ///< The record is in a page: search the pages from the newest to the oldest.
};

/// Determines the outcome of a change from a document that was read after the write, by the nonce
/// of its record.
ChangeOutcome DetermineChangeOutcome(const ConfigDocument& current, const AuditRecord& record);

/// Determines the outcome of a change from a page. kOlderPage means: check the preceding page.
ChangeOutcome DetermineChangeOutcome(const AuditPage& page, const AuditRecord& record);

/// Returns the name of the platform object that holds an audit page.
std::string AuditPageObject(int64_t number);

/// Encodes the document as JSON.
std::string EncodeConfigDocument(const ConfigDocument& document);

/// Parses a document. Fails with kIncompleteAnswer for malformed JSON and for gaps between records.
Result<ConfigDocument> DecodeConfigDocument(std::string_view text);

/// Encodes the page as JSON.
std::string EncodeAuditPage(const AuditPage& page);

/// Parses a page. Fails with kIncompleteAnswer for malformed JSON and for gaps between records.
Result<AuditPage> DecodeAuditPage(std::string_view text);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CONFIG_DOCUMENT_H_
