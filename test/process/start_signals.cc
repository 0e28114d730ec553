// Signals around the start of a process, and signals that are no request to it.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>

#include "process/lone_process.h"

namespace fuchsiaweir::testing {
namespace {

/// Time for a process to come to its settings, also on a busy machine.
constexpr int kReachSettingsMs = 500;

}  // namespace

TEST_GROUP(StartSignals) {
  LoneProcess process;

  /// Starts the process and sends it a signal while it reads its settings from a pipe. Later reads
  /// of the file get the same settings.
  void SignalDuringTheStart(int signal) {
    unlink(process.file().c_str());
    LONGS_EQUAL(0, mkfifo(process.file().c_str(), 0600));
    const int pipe = open(process.file().c_str(), O_RDWR | O_CLOEXEC);
    process.Start();
    SleepMillis(kReachSettingsMs);
    unlink(process.file().c_str());
    process.Write(process.settings());
    process.Signal(signal);
    SleepMillis(kReachSettingsMs);
    const std::string text = process.settings();
    LONGS_EQUAL(text.size(), write(pipe, text.data(), text.size()));
    close(pipe);
  }
};

// Guards against a reload that ends a process whose handlers are not yet installed.
TEST(StartSignals, AReloadDuringTheStartEndsNoProcess) {
  SignalDuringTheStart(SIGHUP);
  CHECK(process.Logs("daemon_started"));
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against a stop during the start that counts as a crash.
TEST(StartSignals, AStopDuringTheStartEndsWithoutAnError) {
  SignalDuringTheStart(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against signals that end a process by default although nobody asks it to stop.
TEST(StartSignals, SignalsThatAreNoRequestAreIgnored) {
  process.Start();
  CHECK(process.Logs("daemon_started"));
  for (const int signal :
       {SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGXFSZ, SIGPIPE}) {
    process.Signal(signal);
  }
  SleepMillis(100);
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against a log file that reaches the limit of file sizes and ends the process.
TEST(StartSignals, ALogThatReachesTheLimitOfFileSizesEndsNoProcess) {
  process.Start();
  CHECK(process.Logs("daemon_started"));
  const rlimit limit{static_cast<rlim_t>(process.Log().size()),
                     static_cast<rlim_t>(process.Log().size())};
  LONGS_EQUAL(0, prlimit(process.pid(), RLIMIT_FSIZE, &limit, nullptr));
  for (int i = 0; i < 5; ++i) {
    process.Signal(SIGHUP);
    SleepMillis(50);
  }
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against SIGQUIT cutting the requests in flight.
TEST(StartSignals, QuitStopsAsTermDoes) {
  process.Start();
  CHECK(process.Logs("daemon_started"));
  process.Signal(SIGQUIT);
  LONGS_EQUAL(0, process.Wait());
  CHECK(process.Logs("shutdown_finished"));
}

}  // namespace fuchsiaweir::testing
