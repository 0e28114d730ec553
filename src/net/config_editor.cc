#include "net/config_editor.h"

#include <absl/strings/str_cat.h>

#include <optional>
#include <string>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr Duration kRetryDelay = Millis(200);

Error ConflictError(int64_t revision) {
  return {ErrorCode::kConflict, RunState::kNotRun,
          absl::StrCat("another change was accepted as revision ", revision,
                       "; read the configuration again and repeat the change"),
          Duration{0}};
}

Error UnconfirmedError(const std::string& what, bool may_take_effect) {
  return {ErrorCode::kPlatformUnavailable, may_take_effect ? RunState::kUnknown : RunState::kNotRun,
          absl::StrCat("the platform did not confirm ", what,
                       may_take_effect ? "; it may still take effect, see the audit trail"
                                       : "; nothing was changed"),
          Duration{0}};
}

/// Writes one change to the platform and determines its outcome.
class ChangeSubmission {
 public:
  ChangeSubmission(ObjectApi& objects, ConfigUpdate update, int64_t version, SubmitOptions options)
      : objects_(objects),
        update_(std::move(update)),
        version_(version),
        options_(options),
        deadline_(SteadyNow() + options.timeout) {}

  Awaitable<std::optional<Error>> WriteAuditPage();
  Awaitable<Result<int64_t>> WriteDocument();

 private:
  const AuditRecord& record() const { return update_.document.audit.back(); }
  Awaitable<ChangeOutcome> ReadOutcome();
  Awaitable<ChangeOutcome> ReadOutcomeFromPages(int64_t pages);

  ObjectApi& objects_;
  ConfigUpdate update_;
  int64_t version_;
  SubmitOptions options_;
  TimePoint deadline_;
};

/// Writes the page before the document that no longer has its records, so that no record is ever
/// missing from both. A page that already exists was written by a concurrent or interrupted change
/// and must have the same records.
Awaitable<std::optional<Error>> ChangeSubmission::WriteAuditPage() {
  if (!update_.page) co_return std::nullopt;
  const std::string key = AuditPageObject(update_.page->number);
  const std::string text = EncodeAuditPage(*update_.page);
  while (SteadyNow() < deadline_) {
    const ObjectWrite write = co_await objects_.Write(key, text, 0, options_.call_timeout);
    if (write.outcome == CallOutcome::kDone) co_return std::nullopt;
    const ObjectRead read = co_await objects_.Read(key, options_.call_timeout);
    if (read.found) {
      const Result<AuditPage> existing = DecodeAuditPage(read.value);
      if (existing && existing.value() == *update_.page) co_return std::nullopt;
      co_return Error{ErrorCode::kInternal, RunState::kNotRun,
                      absl::StrCat("audit page ", update_.page->number,
                                   " already exists with different records"),
                      Duration{0}};
    }
    co_await SleepFor(kRetryDelay);
  }
  co_return UnconfirmedError(absl::StrCat("audit page ", update_.page->number),
                             /*may_take_effect=*/false);
}

Awaitable<Result<int64_t>> ChangeSubmission::WriteDocument() {
  const std::string text = EncodeConfigDocument(update_.document);
  bool may_take_effect = false;
  while (SteadyNow() < deadline_) {
    const ObjectWrite write =
        co_await objects_.Write(kConfigObject, text, version_, options_.call_timeout);
    if (write.outcome == CallOutcome::kDone) co_return record().new_revision;
    // After a lost response, the conflicting version may be this change itself.
    if (write.conflict && !may_take_effect) co_return ConflictError(record().new_revision);
    may_take_effect = may_take_effect || write.outcome == CallOutcome::kUnknown;
    if (may_take_effect) {
      const ChangeOutcome outcome = co_await ReadOutcome();
      if (outcome == ChangeOutcome::kAccepted) co_return record().new_revision;
      if (outcome == ChangeOutcome::kConflict) co_return ConflictError(record().new_revision);
    }
    co_await SleepFor(kRetryDelay);
  }
  co_return UnconfirmedError(absl::StrCat("revision ", record().new_revision), may_take_effect);
}

Awaitable<ChangeOutcome> ChangeSubmission::ReadOutcome() {
  const ObjectRead read = co_await objects_.Read(kConfigObject, options_.call_timeout);
  if (!read.found) co_return ChangeOutcome::kUndecided;
  const Result<ConfigDocument> current = DecodeConfigDocument(read.value);
  if (!current) co_return ChangeOutcome::kUndecided;
  const ChangeOutcome outcome = DetermineChangeOutcome(current.value(), record());
  if (outcome != ChangeOutcome::kOlderPage) co_return outcome;
  co_return co_await ReadOutcomeFromPages(current.value().audit_pages);
}

Awaitable<ChangeOutcome> ChangeSubmission::ReadOutcomeFromPages(int64_t pages) {
  for (int64_t page_number = pages - 1; page_number >= 0; --page_number) {
    const ObjectRead read =
        co_await objects_.Read(AuditPageObject(page_number), options_.call_timeout);
    if (!read.found) co_return ChangeOutcome::kUndecided;
    const Result<AuditPage> page = DecodeAuditPage(read.value);
    if (!page) co_return ChangeOutcome::kUndecided;
    const ChangeOutcome outcome = DetermineChangeOutcome(page.value(), record());
    if (outcome != ChangeOutcome::kOlderPage) co_return outcome;
  }
  co_return ChangeOutcome::kUndecided;
}

}  // namespace

Awaitable<Result<int64_t>> SubmitChange(ObjectApi& objects, ConfigDocument current, int64_t version,
                                        ConfigChange change, SubmitOptions options) {
  Result<ConfigUpdate> update = ApplyChange(current, change, options.limits);
  if (!update) co_return update.error();
  ChangeSubmission submission(objects, std::move(update.value()), version, options);
  const std::optional<Error> failure = co_await submission.WriteAuditPage();
  if (failure) co_return *failure;
  co_return co_await submission.WriteDocument();
}

}  // namespace fuchsiaweir
