#include "net/command_show.h"

#include <absl/strings/str_cat.h>

namespace fuchsiaweir {
namespace {

Awaitable<ExitCode> Show(OperatorSession& session) {
  const Result<ConfigDocument> document = co_await session.ReadConfigWithPeerFallback();
  if (!document) co_return session.ReportError(document.error());
  const int64_t revision = document.value().revision;
  const std::string& inventory = document.value().inventory_ini;
  session.Print(absl::StrCat(kRevisionLine, revision, "\n", inventory),
                {{"revision", revision}, {"inventory", inventory}});
  co_return ExitCode::kDone;
}

}  // namespace

ExitCode RunShow(const Operands& operands) {
  if (!operands.empty()) return ExitCode::kUsage;
  return RunInSession([](OperatorSession& session) { return Show(session); });
}

}  // namespace fuchsiaweir
