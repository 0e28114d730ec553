// The log leads to the cause of each end, or refused start, of a process.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <thread>

#include "net/crash_handler.h"
#include "process/lone_process.h"

namespace fuchsiaweir::testing {

namespace asio = boost::asio;

TEST_GROUP(ProcessLog) { LoneProcess process; };

// Guards against a start that is refused with nothing in the log.
TEST(ProcessLog, ARefusedStartNamesFileAndLine) {
  process.Write("[process]\nname = gateway0\n");
  process.Start();
  LONGS_EQUAL(2, process.Wait());
  const std::string log = process.Log();
  CHECK_TEXT(absl::StrContains(log, R"("event":"start_refused")"), log.c_str());
  CHECK_TEXT(absl::StrContains(log, "gateway0.ini:2: [process ] lacks the key"), log.c_str());
}

// Guards against a port in use that is not named.
TEST(ProcessLog, APortInUseIsNamed) {
  const HeldPort held(process.callers_port(), SOCK_STREAM);
  process.Start();
  CHECK(process.Logs(R"("event":"listen_failed","socket":"callers")"));
  CHECK(process.Logs(absl::StrCat("127.0.0.1:", process.callers_port())));
  CHECK(process.Logs("Address already in use"));
}

// Guards against signals that leave no trace, and against a start without version and pid.
TEST(ProcessLog, SignalsAndTheStartAreLogged) {
  process.Start();
  CHECK(process.Logs(R"("event":"daemon_started")"));
  CHECK(process.Logs(absl::StrCat(R"("pid":")", process.pid(), "\"")));
  CHECK(process.Logs(R"("version":")"));
  process.Signal(SIGHUP);
  CHECK(process.Logs(R"("event":"signal_received","signal":"SIGHUP")"));
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
  CHECK(process.Logs(R"("event":"signal_received","signal":"SIGTERM")"));
}

// Guards against crashes that leave no trace.
TEST(ProcessLog, ACrashLeavesItsSignalAndAddresses) {
  for (const auto& [number, name] : {std::pair{SIGSEGV, "SIGSEGV"}, std::pair{SIGBUS, "SIGBUS"},
                                     std::pair{SIGABRT, "SIGABRT"}}) {
    LoneProcess process;
    process.Start();
    CHECK(process.Logs("daemon_started"));
    process.Signal(number);
    LONGS_EQUAL(-1, process.Wait());
    CHECK(process.Logs(
        absl::StrCat(R"("process":"gateway0","event":"process_crashed","signal":")", name, "\"")));
    CHECK(process.Logs(R"("frames":"0x)"));
  }
}

// Guards against an exception in a thread that ends the process with no trace of its text.
TEST(ProcessLog, AnExceptionThatNothingCatchesLeavesItsText) {
  const std::string file = process.directory() + "/terminate.log";
  const pid_t child = fork();
  if (child == 0) {
    dup2(open(file.c_str(), O_WRONLY | O_CREAT, 0600), STDOUT_FILENO);
    InstallCrashHandler("child", LogStream::kStandardOutput);
    std::thread([]() { throw std::runtime_error("the \"reason\""); }).join();
    _exit(0);
  }
  int status = 0;
  waitpid(child, &status, 0);
  CHECK(WIFSIGNALED(status));
  const std::string log = ReadText(file);
  CHECK_TEXT(absl::StrContains(log, R"("event":"process_crashed","reason":"the ?reason?")"),
             log.c_str());
}

// Guards against log records that go to a caller, whose socket has the number of a standard stream
// that was closed at the start.
TEST(ProcessLog, NoSocketTakesTheNumberOfAStandardStream) {
  process.StartRedirected("<&- >&- 2>&-");
  CHECK(
      Eventually([&]() { return Send("GET", process.metrics_port(), "/metrics").status == 200; }));
  for (const char* descriptor : {"0", "1", "2"}) {
    const std::string link = absl::StrCat("/proc/", process.pid(), "/fd/", descriptor);
    STRCMP_EQUAL("/dev/null", std::filesystem::read_symlink(link).c_str());
  }
  process.Signal(SIGTERM);
  LONGS_EQUAL(0, process.Wait());
}

// Guards against a process that is killed for its memory with no trace of its growth.
TEST(ProcessLog, MemoryIsReportedAndWarnedOf) {
  process.Write(
      absl::StrReplaceAll(process.settings(), {{"[process]\n", "[process]\nmemory_mb = 16\n"}}));
  process.Start();
  CHECK(process.Logs("daemon_started"));
  asio::io_context io;
  asio::ip::tcp::socket upload(io);
  upload.connect({asio::ip::address_v4::loopback(), static_cast<uint16_t>(process.callers_port())});
  asio::write(upload, asio::buffer(absl::StrCat(
                          "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 3000001\r\n\r\n",
                          std::string(3'000'000, 'x'))));
  CHECK(process.Logs(R"("event":"memory_near_limit","resident_mb":")"));
  CHECK(process.Logs(R"("event":"process_usage","resident_mb":")"));
  for (const char* field : {"peak_mb", "descriptors", "processor_ms", "caller_connections"}) {
    CHECK_TEXT(process.Logs(absl::StrCat("\"", field, "\":\"")), field);
  }
}

}  // namespace fuchsiaweir::testing
