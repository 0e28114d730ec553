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

/// Largest encoded document in bytes; the object API takes values up to 1 MB.
inline constexpr size_t kMaxConfigBytes = 1'000'000;

/// Longest operator name and nonce, and longest description of a change, in bytes.
inline constexpr size_t kMaxAuditNameBytes = 128;
inline constexpr size_t kMaxAuditTextBytes = 512;

/// Who changed what and when. The revision with number `new_revision` has exactly one record.
struct AuditRecord {
  std::string who;
  std::string when;  ///< Wall-clock time of the operator's command, RFC 3339 in UTC.
  std::string what;
  std::string nonce;  ///< Chosen at random for each change; settles a lost answer.
  int64_t old_revision = 0;
  int64_t new_revision = 0;

  bool operator==(const AuditRecord&) const = default;
};

/// Records that were moved out of the document, oldest first; the object `audit/NUMBER`.
struct AuditPage {
  int64_t number = 0;
  std::vector<AuditRecord> records;

  bool operator==(const AuditPage&) const = default;
};

/// The configuration object. Revision 0 stands for a platform without configuration.
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

/// The writes that carry out a change.
struct ConfigUpdate {
  /// Created before `document` is written. An existing page of this number holds the same records.
  std::optional<AuditPage> page;
  /// Written on condition that the object is still the one that the change was applied to.
  ConfigDocument document;
};

/// Bounds of the records in the document. A document that holds `kept_records` moves its oldest
/// `page_records` to a page with the next change.
struct AuditLimits {
  size_t kept_records = 256;
  size_t page_records = 128;
};

/// Applies a change. Fails with kConflict when `current` is not at the base revision, with
/// kBadRequest when the inventory or a field of the record is invalid, and with kTooLarge when the
/// encoded document would exceed kMaxConfigBytes.
Result<ConfigUpdate> ApplyChange(const ConfigDocument& current, const ConfigChange& change,
                                 const AuditLimits& limits = {});

/// What a document read after a lost answer says about the change.
enum class ChangeOutcome {
  kAccepted,   ///< The change took effect.
  kConflict,   ///< Another change took its revision; the change never takes effect.
  kUndecided,  ///< The write may still arrive. Repeat the same conditional write, then settle
               ///< again.
  kOlderPage,  ///< The record is in a page; look through the pages from the newest to the oldest.
};

/// Settles a change by the nonce of its record in a document that was read afterwards.
ChangeOutcome DetermineChangeOutcome(const ConfigDocument& current, const AuditRecord& record);

/// Settles a change by a page. kOlderPage asks for the page before this one.
ChangeOutcome DetermineChangeOutcome(const AuditPage& page, const AuditRecord& record);

/// Returns the platform object's name of an audit page.
std::string AuditPageObject(int64_t number);

/// Returns the document as JSON.
std::string EncodeConfigDocument(const ConfigDocument& document);

/// Parses a document. Malformed JSON and a record sequence with gaps give kIncompleteAnswer.
Result<ConfigDocument> DecodeConfigDocument(std::string_view text);

/// Returns the page as JSON.
std::string EncodeAuditPage(const AuditPage& page);

/// Parses a page. Malformed JSON and a record sequence with gaps give kIncompleteAnswer.
Result<AuditPage> DecodeAuditPage(std::string_view text);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CONFIG_DOCUMENT_H_
