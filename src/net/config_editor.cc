#include "net/config_editor.h"

#include <absl/strings/str_cat.h>

#include <optional>
#include <string>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr Duration kRetryPause = Millis(200);

Error Conflict(int64_t revision) {
  return {ErrorCode::kConflict, RunState::kNotRun,
          absl::StrCat("another change was accepted as revision ", revision,
                       "; read the configuration again and repeat the change"),
          Duration{0}};
}

Error Unsettled(const std::string& what, bool may_take_effect) {
  return {ErrorCode::kPlatformUnavailable, may_take_effect ? RunState::kUnknown : RunState::kNotRun,
          absl::StrCat("the platform did not confirm ", what,
                       may_take_effect ? "; it may still take effect, see the audit trail"
                                       : "; nothing was changed"),
          Duration{0}};
}

/// One change on its way to the platform.
class Submission {
 public:
  Submission(ObjectApi& objects, ConfigUpdate update, int64_t version, SubmitOptions options)
      : objects_(objects),
        update_(std::move(update)),
        version_(version),
        options_(options),
        deadline_(SteadyNow() + options.timeout) {}

  Awaitable<std::optional<Error>> WritePage();
  Awaitable<Result<int64_t>> WriteDocument();

 private:
  const AuditRecord& record() const { return update_.document.audit.back(); }
  Awaitable<ChangeOutcome> Settle();
  Awaitable<ChangeOutcome> SettleInPages(int64_t pages);

  ObjectApi& objects_;
  ConfigUpdate update_;
  int64_t version_;
  SubmitOptions options_;
  TimePoint deadline_;
};

/// The page is written before the document that no longer holds its records, so that no record is
/// ever missing from both. A page that exists already comes from a racing or an interrupted change.
Awaitable<std::optional<Error>> Submission::WritePage() {
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
                      absl::StrCat("audit page ", update_.page->number, " holds other records"),
                      Duration{0}};
    }
    co_await SleepFor(kRetryPause);
  }
  co_return Unsettled(absl::StrCat("audit page ", update_.page->number), false);
}

Awaitable<Result<int64_t>> Submission::WriteDocument() {
  const std::string text = EncodeConfigDocument(update_.document);
  bool may_take_effect = false;
  while (SteadyNow() < deadline_) {
    const ObjectWrite write =
        co_await objects_.Write(kConfigObject, text, version_, options_.call_timeout);
    if (write.outcome == CallOutcome::kDone) co_return record().new_revision;
    // A conflict may be with this change itself when an earlier answer was lost.
    if (write.conflict && !may_take_effect) co_return Conflict(record().new_revision);
    may_take_effect = may_take_effect || write.outcome == CallOutcome::kUnknown;
    if (may_take_effect) {
      const ChangeOutcome settlement = co_await Settle();
      if (settlement == ChangeOutcome::kAccepted) co_return record().new_revision;
      if (settlement == ChangeOutcome::kConflict) co_return Conflict(record().new_revision);
    }
    co_await SleepFor(kRetryPause);
  }
  co_return Unsettled(absl::StrCat("revision ", record().new_revision), may_take_effect);
}

Awaitable<ChangeOutcome> Submission::Settle() {
  const ObjectRead read = co_await objects_.Read(kConfigObject, options_.call_timeout);
  if (!read.found) co_return ChangeOutcome::kUndecided;
  const Result<ConfigDocument> current = DecodeConfigDocument(read.value);
  if (!current) co_return ChangeOutcome::kUndecided;
  const ChangeOutcome settlement = DetermineChangeOutcome(current.value(), record());
  if (settlement != ChangeOutcome::kOlderPage) co_return settlement;
  co_return co_await SettleInPages(current.value().audit_pages);
}

Awaitable<ChangeOutcome> Submission::SettleInPages(int64_t pages) {
  for (int64_t number = pages - 1; number >= 0; --number) {
    const ObjectRead read = co_await objects_.Read(AuditPageObject(number), options_.call_timeout);
    if (!read.found) co_return ChangeOutcome::kUndecided;
    const Result<AuditPage> page = DecodeAuditPage(read.value);
    if (!page) co_return ChangeOutcome::kUndecided;
    const ChangeOutcome settlement = DetermineChangeOutcome(page.value(), record());
    if (settlement != ChangeOutcome::kOlderPage) co_return settlement;
  }
  co_return ChangeOutcome::kUndecided;
}

}  // namespace

Awaitable<Result<int64_t>> SubmitChange(ObjectApi& objects, ConfigDocument current, int64_t version,
                                        ConfigChange change, SubmitOptions options) {
  Result<ConfigUpdate> update = ApplyChange(current, change, options.limits);
  if (!update) co_return update.error();
  Submission submission(objects, std::move(update.value()), version, options);
  const std::optional<Error> failure = co_await submission.WritePage();
  if (failure) co_return *failure;
  co_return co_await submission.WriteDocument();
}

}  // namespace fuchsiaweir
