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
  boost::json::array array;
  for (const AuditRecord& record : records) {
    array.push_back(boost::json::object{{"who", record.who},
                                        {"when", record.when},
                                        {"what", record.what},
                                        {"nonce", record.nonce},
                                        {"old_revision", record.old_revision},
                                        {"new_revision", record.new_revision}});
  }
  return {{"records", std::move(array)}};
}

Awaitable<ExitCode> Audit(OperatorSession& session) {
  const Result<VersionedConfig> config = co_await session.ReadPlatform();
  if (!config) co_return session.Fail(config.error());
  std::vector<AuditRecord> records;
  for (int64_t number = 0; number < config.value().document.audit_pages; ++number) {
    const Result<AuditPage> page = co_await session.ReadPage(number);
    if (!page) co_return session.Fail(page.error());
    const std::vector<AuditRecord>& moved = page.value().records;
    records.insert(records.end(), moved.begin(), moved.end());
  }
  const std::vector<AuditRecord>& kept = config.value().document.audit;
  records.insert(records.end(), kept.begin(), kept.end());
  session.Print(ToText(records), ToJson(records));
  co_return ExitCode::kDone;
}

}  // namespace

ExitCode RunAudit(const Operands& operands) {
  if (!operands.empty()) return ExitCode::kUsage;
  return RunOperator([](OperatorSession& session) { return Audit(session); });
}

}  // namespace fuchsiaweir
