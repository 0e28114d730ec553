#ifndef FUCHSIAWEIR_TEST_STANDIN_FLEET_RUNNER_H_
#define FUCHSIAWEIR_TEST_STANDIN_FLEET_RUNNER_H_

#include <string>

namespace fuchsiaweir::standin {

/// Stand-in for a runner on the users' platform. A POST with the body "events=N" gets a stream of N
/// events at intervals of 20 ms; every other request gets its own body. GET /stats returns
/// counters, the header fields of the last request that ran and when requests arrived (steady
/// clock, ms), GET /report the load. POST /order starts a weight load that takes 300 ms.
///
/// POST /fault replaces the set of faults: "full" (refuse requests as not run), "cut_after" (close
/// the connection after this number of events), "lose" (close it without a response), "silent"
/// (never respond), "fail" (respond with status 500), "short_answer" (do not return the body),
/// "extra" (send a second response after each), "no_receipt" (omit the proof that the response
/// comes from the runner), "unframed" (send a stream with neither a length nor chunks, of this
/// number of events), "limit" (name this limit of requests per second in each response), "leaving"
/// (say in each response that the runner leaves), "pause" (refuse requests as not run for this
/// Retry-After), "resumed" (answer a request that resumes a stream with "text", "empty" or
/// "refusal" instead), "second_head" (append the header and text of an error to an unframed
/// stream), "event_interval_ms" (send events at this interval), "trickle" (send single bytes of an
/// event that never ends), "no_report" (do not answer GET /report), "repeat_refusal" (before a
/// request runs, send the connection's last refusal once more), "status" (respond with this status
/// after the run), "silence_open_connections" (never respond on connections that are open now),
/// "flood" (send without end: "head", "interim", "body", "chunk_extension", "trailer" or "event";
/// with "length", announce a body that no memory holds and send its first byte),
/// "flood_report" (answer GET /report with the same), "crash_part" and "crash_text" (exit on a
/// request whose list of prompt parts, or whose body, contains this text).
void RunFleetRunner(int port, const std::string& instance);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_FLEET_RUNNER_H_
