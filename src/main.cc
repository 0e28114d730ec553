// Entry point of the fuchsiaweir binary: picks the subcommand.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "net/daemon.h"

ABSL_FLAG(std::string, settings, "", "settings file of the process (INI)");

namespace {

constexpr int kExitUsage = 64;
constexpr char kUsage[] =
    "fuchsiaweir COMMAND [FLAGS]\n"
    "  entry  --settings=FILE   serve callers\n"
    "  agent  --settings=FILE   serve the targets of one host\n"
    "  version                  print the version\n";

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::string command = arguments.size() > 1 ? arguments[1] : "";
  const std::string settings = absl::GetFlag(FLAGS_settings);
  if (command == "entry") return fuchsiaweir::RunDaemon(fuchsiaweir::Role::kEntry, settings);
  if (command == "agent") return fuchsiaweir::RunDaemon(fuchsiaweir::Role::kAgent, settings);
  if (command == "version") {
    std::cout << "fuchsiaweir 0.1.0\n";
    return 0;
  }
  std::cerr << kUsage;
  return kExitUsage;
}
