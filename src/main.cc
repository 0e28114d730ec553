// Entry point of the fuchsiaweir binary: runs the subcommand that its first argument names.

#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/strings/match.h>
#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "gateway/gateway_daemon.h"
#include "net/command_apply.h"
#include "net/command_audit.h"
#include "net/command_check.h"
#include "net/command_drain.h"
#include "net/command_restore.h"
#include "net/command_show.h"
#include "net/command_status.h"
#include "net/command_tighten.h"
#include "net/command_trace.h"
#include "net/command_version.h"
#include "net/daemon.h"
#include "net/operator_session.h"
#include "net/process_signals.h"

namespace {

using fuchsiaweir::ExitCode;
using fuchsiaweir::Operands;

ExitCode RunEntry(const Operands&) {
  return ExitCode{fuchsiaweir::RunDaemon(fuchsiaweir::Role::kEntry, fuchsiaweir::SettingsFlag())};
}

ExitCode RunAgent(const Operands&) {
  return ExitCode{fuchsiaweir::RunDaemon(fuchsiaweir::Role::kAgent, fuchsiaweir::SettingsFlag())};
}

ExitCode RunGateway(const Operands&) {
  return ExitCode{fuchsiaweir::RunGatewayOrSidecar(fuchsiaweir::PlatformRole::kGateway,
                                                   fuchsiaweir::SettingsFlag())};
}

ExitCode RunSidecar(const Operands&) {
  return ExitCode{fuchsiaweir::RunGatewayOrSidecar(fuchsiaweir::PlatformRole::kSidecar,
                                                   fuchsiaweir::SettingsFlag())};
}

struct Command {
  const char* name;
  const char* brief;
  const char* help;
  ExitCode (*run)(const Operands& operands);
  bool is_daemon = false;
};

constexpr char kDaemonHelp[] =
    "fuchsiaweir entry|agent --settings=FILE\n"
    "Runs a daemon until SIGTERM, then lets running requests finish and shuts down.\n"
    "exit codes: 0 shut down, 1 failed, 2 findings in the settings, 64 usage\n";

constexpr char kPlatformHelp[] =
    "fuchsiaweir gateway|sidecar --settings=FILE\n"
    "Runs a process on the users' platform until SIGTERM: a gateway forwards callers' requests by\n"
    "route, a sidecar reports the state of the runner on its host and sends it orders. SIGHUP\n"
    "reloads the settings.\n"
    "exit codes: 0 shut down, 1 failed, 2 findings in the settings, 64 usage\n";

constexpr Command kCommands[] = {
    {"entry", "serve callers", kDaemonHelp, &RunEntry, true},
    {"agent", "serve the targets of one host", kDaemonHelp, &RunAgent, true},
    {"gateway", "forward callers' requests by route", kPlatformHelp, &RunGateway, true},
    {"sidecar", "report the runner on this host and send it orders", kPlatformHelp, &RunSidecar,
     true},
    {"check", "check an inventory file", fuchsiaweir::kCheckHelp, &fuchsiaweir::RunCheck},
    {"apply", "put an inventory file into force", fuchsiaweir::kApplyHelp, &fuchsiaweir::RunApply},
    {"show", "print the inventory in force", fuchsiaweir::kShowHelp, &fuchsiaweir::RunShow},
    {"status", "print the state of every process", fuchsiaweir::kStatusHelp,
     &fuchsiaweir::RunStatus},
    {"drain", "take a data centre or host out of service", fuchsiaweir::kDrainHelp,
     &fuchsiaweir::RunDrain},
    {"restore", "put a data centre or host back into service", fuchsiaweir::kRestoreHelp,
     &fuchsiaweir::RunRestore},
    {"tighten", "order all processes directly to give a data centre or host no new work",
     fuchsiaweir::kTightenHelp, &fuchsiaweir::RunTighten},
    {"trace", "follow one request through the logs", fuchsiaweir::kTraceHelp,
     &fuchsiaweir::RunTrace},
    {"audit", "print the audit trail", fuchsiaweir::kAuditHelp, &fuchsiaweir::RunAudit},
    {"version", "print the version", fuchsiaweir::kVersionHelp, &fuchsiaweir::RunVersion},
};

void PrintUsage(std::ostream& out) {
  out << "fuchsiaweir COMMAND [OPERANDS] [FLAGS]\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name << std::string(9 - std::string(command.name).size(), ' ')
        << command.brief << "\n";
  }
  out << "\"fuchsiaweir COMMAND --help\" describes a command.\n";
}

const Command* FindCommand(const std::string& name) {
  for (const Command& command : kCommands) {
    if (name == command.name) return &command;
  }
  return nullptr;
}

/// Returns the error message for an invalid flag, or "" if the argument is valid. Checked ahead of
/// Abseil's parser, which ends the process with exit code 1 for an invalid flag; that code means a
/// failed command here.
std::string FlagError(const std::string& argument) {
  if (!absl::StartsWith(argument, "-") || argument == "-") return "";
  const size_t begin = argument.find_first_not_of('-');
  const size_t equals = argument.find('=');
  const std::string name = begin == std::string::npos ? "" : argument.substr(begin, equals - begin);
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) return "unknown flag " + argument;
  if (equals == std::string::npos) return "";
  std::string error;
  return flag->ParseFrom(argument.substr(equals + 1), &error) ? "" : argument + ": " + error;
}

/// Opens /dev/null for each standard stream that is closed. Otherwise a socket would get its
/// number, and the records of the log would be sent to a caller or a runner.
void OpenStandardStreams() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(descriptor, F_GETFD) < 0) open("/dev/null", O_RDWR);
  }
}

}  // namespace

int main(int argc, char** argv) {
  OpenStandardStreams();
  const std::string name = argc > 1 ? argv[1] : "";
  const Command* command = FindCommand(name);
  if (command == nullptr || !command->is_daemon) fuchsiaweir::RestoreSignals();
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  for (const std::string& argument : arguments) {
    if (argument == "--help" || argument == "-h") {
      if (command != nullptr) std::cout << command->help;
      if (command == nullptr) PrintUsage(std::cout);
      return 0;
    }
    const std::string error = FlagError(argument);
    if (error.empty()) continue;
    std::cerr << error << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (command == nullptr) {
    PrintUsage(std::cerr);
    return static_cast<int>(ExitCode::kUsage);
  }
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const ExitCode code = command->run(Operands(positional.begin() + 2, positional.end()));
  if (code == ExitCode::kUsage) std::cerr << command->help;
  return static_cast<int>(code);
}
