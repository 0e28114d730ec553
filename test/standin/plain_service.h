#ifndef FUCHSIAWEIR_TEST_STANDIN_PLAIN_SERVICE_H_
#define FUCHSIAWEIR_TEST_STANDIN_PLAIN_SERVICE_H_

namespace fuchsiaweir::standin {

/// Stand-in for a plain service. It records every execution: GET /executions returns the bodies
/// that it executed. Faults by POST /fault: "delay_ms" before each answer, "lose_answers" (number
/// of calls that are executed without an answer).
void RunPlainService(int port);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_PLAIN_SERVICE_H_
