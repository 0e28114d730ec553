#ifndef FUCHSIAWEIR_NET_CRASH_HANDLER_H_
#define FUCHSIAWEIR_NET_CRASH_HANDLER_H_

#include <string>

#include "net/log.h"

namespace fuchsiaweir {

/// Writes the record `process_crashed` to the log's stream before SIGSEGV, SIGBUS, SIGFPE, SIGILL
/// or SIGABRT, or an exception that nothing catches, ends the process. The signal then takes its
/// default action. Handlers that are already installed, such as those of a sanitizer, stay.
/// `process` is the name in the record. A later call only replaces name and stream.
void InstallCrashHandler(const std::string& process, LogStream stream);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CRASH_HANDLER_H_
