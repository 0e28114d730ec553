#ifndef FUCHSIAWEIR_TEST_STANDIN_PLATFORM_H_
#define FUCHSIAWEIR_TEST_STANDIN_PLATFORM_H_

namespace fuchsiaweir::standin {

/// Stand-in for the platform: the object API with versions, conditional updates and watches, the
/// lagging host list and the rate-limited weight store.
///
/// Faults are set by POST /fault with any of: "down" (refuse all calls), "delay_ms" (before each
/// answer), "lose_answers" (number of writes that take effect without an answer), "stale"
/// (answer reads with the previous value), "stale_watches" (the same for watches only),
/// "writes_per_second" and "reads_per_second" (limits). GET /stats counts the calls. PUT /hosts
/// replaces the host list after "lag_ms".
void RunPlatform(int port);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_PLATFORM_H_
