#ifndef FUCHSIAWEIR_NET_PROCESS_SIGNALS_H_
#define FUCHSIAWEIR_NET_PROCESS_SIGNALS_H_

#include <boost/asio/signal_set.hpp>
#include <string>

namespace fuchsiaweir {

// Before main and before the constructors of the executable and its libraries, the signals that ask
// for a stop or a reload are blocked, so that one that arrives during the start stays pending, and
// signals that are no request to the program are ignored.

/// Undoes what was done before main, for commands that handle no signals themselves.
void RestoreSignals();

/// Adds the signals that ask for a stop or a reload to `signals` and delivers those that are
/// pending.
void ReceiveRequestSignals(boost::asio::signal_set& signals);

/// Returns the name of a signal, such as "SIGTERM".
std::string SignalName(int signal);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_PROCESS_SIGNALS_H_
