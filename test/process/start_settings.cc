// Settings that a process cannot use in part, or that are not complete when it starts.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <unistd.h>

#include <csignal>
#include <thread>

#include "process/lone_process.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kWriteDelayMs = 500;

/// Optional values, among them some that the platform may fill in for a field it does not have.
constexpr const char* kUnusable[] = {
    "[bounds]\nkey_revocation_ms =\n", "[bounds]\nkey_revocation_ms = 0\n",
    "[bounds]\nweights_ms = true\n",   "[bounds]\nshutdown_s = nan\n",
    "[bounds]\nretry_ratio = -1\n",    "[bounds]\nretry_slack = 1e999\n",
    "[bounds]\nlease_ms = 3000\n",     "[contracts]\nbase = yes\n",
    "[log]\nlevel = loud\n",           "[bounds]\nweights_ms = 99999999999999999999\n",
    "[bounds]\nweights_ms\n",          "[bounds]\nweights_ms = 2000\nweights_ms = 3000\n",
};

}  // namespace

TEST_GROUP(StartSettings) {
  LoneProcess process;

  void ExpectServing(const char* text) {
    CHECK_TEXT(process.Logs("daemon_started"), text);
    process.Signal(SIGTERM);
    LONGS_EQUAL_TEXT(0, process.Wait(), text);
    unlink((process.directory() + "/gateway0.log").c_str());
  }
};

// Guards against a process that does not start because of a value that has a default.
TEST(StartSettings, AnOptionalValueThatCannotBeUsedIsIgnored) {
  for (const char* text : kUnusable) {
    process.Write(process.settings() + text);
    process.Start();
    CHECK_TEXT(process.Logs(R"("event":"settings_value_ignored")"), text);
    ExpectServing(text);
  }
}

// Guards against whole numbers that are refused because they are written as fractions.
TEST(StartSettings, WholeFractionsAreTaken) {
  process.Write(process.settings() + "[bounds]\nweights_ms = 12000.0\nkey_revocation_ms = 5e3\n");
  process.Start();
  CHECK(process.Logs("daemon_started"));
  CHECK_FALSE(absl::StrContains(process.Log(), "settings_value_ignored"));
}

// Guards against a process that does not start because its settings are written a moment later.
TEST(StartSettings, AFileThatIsMissingEmptyOrCutIsReadAgain) {
  const std::string cut = process.settings().substr(0, process.settings().find("peer_port"));
  for (const char* text : {"", cut.c_str(), "missing"}) {
    process.Write(text);
    if (std::string(text) == "missing") unlink(process.file().c_str());
    process.Start();
    SleepMillis(kWriteDelayMs);
    process.Write(process.settings());
    ExpectServing(text);
  }
}

// Guards against a process that does not stop while it waits for its settings.
TEST(StartSettings, AStopWhileTheSettingsAreMissingEndsWithoutAnError) {
  unlink(process.file().c_str());
  process.Start();
  SleepMillis(kWriteDelayMs);
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against a start with an address that is missing or malformed.
TEST(StartSettings, RequiredAddressesStillRefuse) {
  for (const char* line : {"callers = 127.0.0.1:", "address = 127.0.0.1", "store = 127.0.0.1:"}) {
    process.Write(absl::StrReplaceAll(process.settings(), {{line, "# "}}));
    process.Start();
    LONGS_EQUAL_TEXT(2, process.Wait(), line);
  }
}

// Guards against a changed setting that has no effect without a word on it.
TEST(StartSettings, AReloadTellsThatAChangeNeedsARestart) {
  process.Start();
  CHECK(process.Logs("daemon_started"));
  process.Write(
      absl::StrReplaceAll(process.settings(), {{"callers =", "link_mbps = 10\ncallers ="}}));
  process.Signal(SIGHUP);
  CHECK(process.Logs(R"("restart_needed":"yes")"));
}

// Guards against a reload that drops good values because of a bad one.
TEST(StartSettings, AReloadTakesTheValuesThatCanBeUsed) {
  process.Start();
  CHECK(process.Logs("daemon_started"));
  process.Write(process.settings() + "[bounds]\nweights_ms = 0\nshutdown_s = 1\n");
  process.Signal(SIGHUP);
  CHECK(process.Logs(R"("event":"settings_value_ignored")"));
  CHECK(process.Logs(R"("event":"settings_loaded")"));
  CHECK_FALSE(absl::StrContains(process.Log(), "settings_refused"));
  const TimePoint stopped_at = SteadyNow();
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
  CHECK(SteadyNow() - stopped_at < Millis(1'500));
}

}  // namespace fuchsiaweir::testing
