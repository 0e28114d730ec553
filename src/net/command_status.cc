#include "net/command_status.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <utility>
#include <vector>

#include "net/fleet_status.h"
#include "net/metrics_status.h"

ABSL_FLAG(std::vector<std::string>, metrics, {}, "metrics ADDRESS:PORT of gateways and sidecars");

namespace fuchsiaweir {
namespace {

std::string ToText(int64_t revision, const std::vector<ProcessStatus>& statuses) {
  std::string text = absl::StrCat("revision ", revision, " is in force at the source\n");
  for (const ProcessStatus& status : statuses) {
    absl::StrAppend(&text, status.host, " ", status.data_centre, " ", status.role, " ");
    if (status.answers) {
      absl::StrAppend(&text, "revision ", status.revision, " ", status.state,
                      status.ready ? "\n" : " not_ready\n");
    } else {
      absl::StrAppend(&text, status.listed ? "no_answer\n" : "not_running\n");
    }
  }
  return text;
}

boost::json::object ToJson(int64_t revision, const std::vector<ProcessStatus>& statuses) {
  boost::json::array hosts;
  for (const ProcessStatus& status : statuses) {
    hosts.push_back(boost::json::object{{"host", status.host},
                                        {"data_centre", status.data_centre},
                                        {"role", status.role},
                                        {"listed", status.listed},
                                        {"answers", status.answers},
                                        {"revision", status.revision},
                                        {"ready", status.ready},
                                        {"state", status.state}});
  }
  return {{"revision", revision}, {"hosts", std::move(hosts)}};
}

Awaitable<ExitCode> Status(OperatorSession& session) {
  const Result<ConfigDocument> document = co_await session.ReadConfigWithPeerFallback();
  if (!document) co_return session.ReportError(document.error());
  const Result<Inventory> inventory = ParseDocumentInventory(document.value());
  if (!inventory) co_return session.ReportError(inventory.error());
  const std::vector<ProcessStatus> statuses =
      co_await ReadFleetStatus(session, inventory.value().hosts);
  const int64_t revision = document.value().revision;
  session.Print(ToText(revision, statuses), ToJson(revision, statuses));
  co_return ExitCode::kDone;
}

}  // namespace

ExitCode RunStatus(const Operands& operands) {
  if (!operands.empty()) return ExitCode::kUsage;
  const std::vector<std::string> addresses = absl::GetFlag(FLAGS_metrics);
  if (!addresses.empty()) return PrintMetricsStatus(addresses);
  return RunInSession([](OperatorSession& session) { return Status(session); });
}

}  // namespace fuchsiaweir
