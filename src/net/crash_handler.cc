#include "net/crash_handler.h"

#include <execinfo.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

/// Start of the executable in memory, set by the linker.
extern "C" const char __executable_start;  // NOLINT

namespace fuchsiaweir {
namespace {

struct CrashSignal {
  int number;
  std::string_view name;
  bool has_address;  ///< `si_addr` is the address of the fault.
};

constexpr CrashSignal kCrashSignals[] = {
    {SIGSEGV, "SIGSEGV", true}, {SIGBUS, "SIGBUS", true},    {SIGFPE, "SIGFPE", true},
    {SIGILL, "SIGILL", true},   {SIGABRT, "SIGABRT", false},
};

constexpr int kMaxFrames = 16;
constexpr size_t kMaxReasonBytes = 300;
constexpr size_t kAlternateStackBytes = 65'536;

std::array<char, 128> process_name = {};                   // NOLINT(readability-identifier-naming)
int log_descriptor = STDERR_FILENO;                        // NOLINT(readability-identifier-naming)
std::array<char, kAlternateStackBytes> alternate_stack{};  // NOLINT(readability-identifier-naming)

/// A record built without allocations or locks, as a signal handler requires. Text that does not
/// fit is dropped.
class RecordBuffer {
 public:
  void Append(std::string_view text) {
    const size_t count = std::min(text.size(), buffer_.size() - size_);
    std::copy_n(text.data(), count, buffer_.data() + size_);
    size_ += count;
  }
  /// Replaces what JSON strings must not contain.
  void AppendQuoted(std::string_view text) {
    for (const char c : text) {
      const bool plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
      const char written = plain ? c : '?';
      Append(std::string_view(&written, 1));
    }
  }
  /// Writes at least `min_digits` digits.
  void AppendDecimal(int64_t number, size_t min_digits = 1) {
    std::array<char, 20> digits{};
    size_t begin = digits.size();
    while (digits.size() - begin < min_digits || number > 0) {
      digits[--begin] = static_cast<char>('0' + number % 10);
      number /= 10;
    }
    Append(std::string_view(digits.data() + begin, digits.size() - begin));
  }
  void AppendAddress(uintptr_t address) {
    std::array<char, 16> digits{};
    size_t begin = digits.size();
    do {
      digits[--begin] = "0123456789abcdef"[address % 16];
      address /= 16;
    } while (address != 0);
    Append("0x");
    Append(std::string_view(digits.data() + begin, digits.size() - begin));
  }
  void AppendTime() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    // gmtime_r takes a lock of the C library, which the interrupted code may hold.
    const int64_t day_s = now.tv_sec % 86'400;
    const std::chrono::year_month_day date{
        std::chrono::sys_days{std::chrono::days{now.tv_sec / 86'400}}};
    AppendDecimal(static_cast<int>(date.year()), 4);
    Append("-");
    AppendDecimal(static_cast<unsigned>(date.month()), 2);
    Append("-");
    AppendDecimal(static_cast<unsigned>(date.day()), 2);
    Append("T");
    AppendDecimal(day_s / 3'600, 2);
    Append(":");
    AppendDecimal(day_s / 60 % 60, 2);
    Append(":");
    AppendDecimal(day_s % 60, 2);
    Append(".");
    AppendDecimal(now.tv_nsec / 1'000, 6);
    Append("+00:00");
  }
  void AppendFrames() {
    std::array<void*, kMaxFrames> frames{};
    const int count = backtrace(frames.data(), kMaxFrames);
    Append(",\"base\":\"");
    AppendAddress(reinterpret_cast<uintptr_t>(&__executable_start));
    Append("\",\"frames\":\"");
    for (int i = 0; i < count; ++i) {
      if (i > 0) Append(" ");
      AppendAddress(reinterpret_cast<uintptr_t>(frames[static_cast<size_t>(i)]));
    }
    Append("\"");
  }
  void Write() const {
    // A pipe without room would stop the process from ending.
    const int flags = fcntl(log_descriptor, F_GETFL);
    fcntl(log_descriptor, F_SETFL, flags | O_NONBLOCK);
    if (write(log_descriptor, buffer_.data(), size_) < 0) return;
  }

 private:
  std::array<char, 2'000> buffer_{};
  size_t size_ = 0;
};

RecordBuffer BeginRecord() {
  RecordBuffer record;
  record.Append("{\"time\":\"");
  record.AppendTime();
  record.Append("\",\"level\":\"error\",\"process\":\"");
  record.AppendQuoted(process_name.data());
  record.Append("\",\"event\":\"process_crashed\"");
  return record;
}

void OnCrashSignal(int number, siginfo_t* info, void*) {
  RecordBuffer record = BeginRecord();
  for (const CrashSignal& signal : kCrashSignals) {
    if (signal.number != number) continue;
    record.Append(",\"signal\":\"");
    record.Append(signal.name);
    if (signal.has_address) {
      record.Append("\",\"address\":\"");
      record.AppendAddress(reinterpret_cast<uintptr_t>(info->si_addr));
    }
    record.Append("\"");
  }
  // The sender of a signal by kill(2); a fault has a positive code.
  if (info->si_code <= 0) {
    record.Append(",\"sender\":\"");
    record.AppendDecimal(info->si_pid);
    record.Append("\"");
  }
  record.AppendFrames();
  record.Append("}\n");
  record.Write();
  // SA_RESETHAND has restored the default action, which the pending signal takes on return.
  raise(number);
}

void OnTerminate() {
  RecordBuffer record = BeginRecord();
  record.Append(",\"reason\":\"");
  try {
    if (const std::exception_ptr current = std::current_exception()) {
      std::rethrow_exception(current);
    }
    record.Append("terminate without an exception");
  } catch (const std::exception& e) {
    record.AppendQuoted(std::string_view(e.what()).substr(0, kMaxReasonBytes));
  } catch (...) {
    record.Append("exception of an unknown type");
  }
  record.Append("\"}\n");
  record.Write();
  std::abort();
}

}  // namespace

void InstallCrashHandler(const std::string& process, LogStream stream) {
  log_descriptor = stream == LogStream::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  process_name.fill('\0');
  std::copy_n(process.data(), std::min(process.size(), process_name.size() - 1),
              process_name.data());
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1);  // The first call loads a library, which a handler must not do.
  const stack_t stack{alternate_stack.data(), 0, alternate_stack.size()};
  sigaltstack(&stack, nullptr);  // For a fault that is the overflow of the normal stack.
  for (const CrashSignal& signal : kCrashSignals) {
    struct sigaction action {};
    if (sigaction(signal.number, nullptr, &action) != 0 || action.sa_handler != SIG_DFL) continue;
    action.sa_sigaction = &OnCrashSignal;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
    sigaction(signal.number, &action, nullptr);
  }
  std::set_terminate(&OnTerminate);
}

}  // namespace fuchsiaweir
