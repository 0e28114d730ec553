#include "net/command_audit.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>
#include <vector>

namespace fuchsiaweir {
namespace {

std::string ToText(const std::vector<AuditRecord>& records) {
  std::string text;
  for (const AuditRecord& record : records) {
    absl::StrAppend(&text, record.new_revision, " ", record.when, " ", record.who, ": ",
                    record.what, "\n");
  }
  return text;
}

boost::json::object ToJson(const std::vector<AuditRecord>& records) {
  boost::json::array items;
  for (const AuditRecord& record : records) {
    items.push_back(boost::json::object{{"who", record.who},
                                        {"when", record.when},
                                        {"what", record.what},
                                        {"nonce", record.nonce},
                                        {"old_revision", record.old_revision},
                                        {"new_revision", record.new_revision}});
  }
  return {{"records", std::move(items)}};
}

Awaitable<ExitCode> Audit(OperatorSession& session) {
  const Result<VersionedConfig> config = co_await session.ReadPlatformConfig();
  if (!config) co_return session.ReportError(config.error());
  std::vector<AuditRecord> records;
  for (int64_t page_number = 0; page_number < config.value().document.audit_pages; ++page_number) {
    const Result<AuditPage> page = co_await session.ReadAuditPage(page_number);
    if (!page) co_return session.ReportError(page.error());
    const std::vector<AuditRecord>& page_records = page.value().records;
    records.insert(records.end(), page_records.begin(), page_records.end());
  }
  const std::vector<AuditRecord>& recent_records = config.value().document.audit;
  records.insert(records.end(), recent_records.begin(), recent_records.end());
  session.Print(ToText(records), ToJson(records));
  co_return ExitCode::kDone;
}

}  // namespace

ExitCode RunAudit(const Operands& operands) {
  if (!operands.empty()) return ExitCode::kUsage;
  return RunInSession([](OperatorSession& session) { return Audit(session); });
}

}  // namespace fuchsiaweir
