#ifndef FUCHSIAWEIR_TEST_STANDIN_PLATFORM_H_
#define FUCHSIAWEIR_TEST_STANDIN_PLATFORM_H_

namespace fuchsiaweir::standin {

/// Stand-in for the platform: the object API with versions, conditional updates and watches, the
/// host list, which may lag, and a weight store that slows down under concurrent loads.
///
/// POST /fault sets faults: "down" (refuse all calls), "delay_ms" (delay of each response),
/// "lose_answers" (number of the next writes that take effect, but get no response), "stale" (reads
/// and watches return the previous value), "stale_watches" (the same for watches only),
/// "writes_per_second" and "reads_per_second" (limits). GET /stats returns counters. PUT /hosts
/// replaces the host list after "lag_ms".
void RunPlatform(int port);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_PLATFORM_H_
