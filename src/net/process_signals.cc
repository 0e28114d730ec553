#include "net/process_signals.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <cstring>

namespace fuchsiaweir {
namespace {

/// SIGQUIT stops the process like SIGTERM: its default action would cut the requests in flight.
constexpr int kRequestSignals[] = {SIGHUP, SIGINT, SIGQUIT, SIGTERM};

/// Signals that end a process by default and are no request to this program. With SIGXFSZ and
/// SIGPIPE ignored, the call that raised them fails instead.
constexpr int kIgnoredSignals[] = {SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM,
                                   SIGPROF, SIGIO,   SIGPWR,  SIGXFSZ};

void ChangeMask(int how) {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : kRequestSignals) sigaddset(&set, number);
  pthread_sigmask(how, &set, nullptr);
}

void SetIgnoredSignals(void (*action)(int)) {
  for (const int number : kIgnoredSignals) std::signal(number, action);
}

void PrepareSignals(int, char**, char**) {
  ChangeMask(SIG_BLOCK);
  SetIgnoredSignals(SIG_IGN);
}

// The dynamic linker calls these functions of an executable before all constructors.
[[gnu::section(".preinit_array"), gnu::used]] void (*prepare_signals)(int, char**, char**) =
    &PrepareSignals;  // NOLINT(readability-identifier-naming)

}  // namespace

void RestoreSignals() {
  SetIgnoredSignals(SIG_DFL);
  ChangeMask(SIG_UNBLOCK);
}

void ReceiveRequestSignals(boost::asio::signal_set& signals) {
  for (const int number : kRequestSignals) signals.add(number);
  ChangeMask(SIG_UNBLOCK);
}

std::string SignalName(int signal) { return absl::StrCat("SIG", sigabbrev_np(signal)); }

}  // namespace fuchsiaweir
