#ifndef FUCHSIAWEIR_TEST_STANDIN_PLAIN_SERVICE_H_
#define FUCHSIAWEIR_TEST_STANDIN_PLAIN_SERVICE_H_

namespace fuchsiaweir::standin {

/// Stand-in for a plain service. It records every execution; GET /executions returns the method,
/// target and body of each.
///
/// POST /fault sets faults: "delay_ms" (delay of each response), "lose_answers" (number of the next
/// calls that are executed, but get no response).
void RunPlainService(int port);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_PLAIN_SERVICE_H_
