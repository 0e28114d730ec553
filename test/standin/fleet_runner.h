#ifndef FUCHSIAWEIR_TEST_STANDIN_FLEET_RUNNER_H_
#define FUCHSIAWEIR_TEST_STANDIN_FLEET_RUNNER_H_

#include <cstdint>
#include <string>

namespace fuchsiaweir::standin {

struct FleetRunnerOptions {
  int port = 0;
  std::string instance;
  int64_t started_ms = 1'000;  ///< Start time in the reports, Unix time.
  /// Whether to log a line "run begin ID MS run" when a request begins to run, and
  /// "run end ID MS complete|left|broken" when it ends; MS is the steady clock.
  bool record_runs = false;
};

/// Stand-in for a runner on the users' platform. A POST with the body "events=N" gets a stream of N
/// events at intervals of 20 ms; every other request gets its own body, after MS milliseconds if
/// that begins with "work=MS;". GET /stats returns
/// counters, the header fields of the last request that ran and when requests arrived (steady
/// clock, ms), GET /report the load. POST /order starts a weight load that takes 300 ms.
///
/// POST /fault replaces the set of faults: "full" (refuse requests as not run), "cut_after" (close
/// the connection after this number of events), "cut_head" and "cut_body" (close it within the
/// head, or the body, of a response), "short_answer" (do not return the body), "lose" (close it
/// without a response), "silent" (never respond), "fail" (respond with status 500), "extra" (send a
/// second response after each), "no_receipt" (omit the proof that the response comes from the
/// runner), "unframed" (send a stream with neither a length nor chunks, of this number of events),
/// "limit" (name this limit of requests per second in each response), "leaving" (say in each
/// response that the runner leaves), "pause" (refuse requests as not run for this Retry-After),
/// "resumed" (answer a request that resumes a stream with "text", "empty" or "refusal" instead),
/// "second_head" (append the header and text of an error to an unframed stream),
/// "work_ms" (answer after this time), "event_interval_ms" (send events at this interval),
/// "trickle" (send single bytes of an event that never ends), "no_report" (do not answer GET
/// /report), "repeat_refusal" (before a request runs, send the connection's last refusal once
/// more), "status" (respond with this status after the run), "silence_open_connections" (never
/// respond on connections that are open now), "flood" (send without end: "head", "interim", "body",
/// "chunk_extension", "trailer" or "event"; with "length", announce a body that no memory holds and
/// send its first byte), "flood_report" (answer GET /report with the same), "crash_part" and
/// "crash_text" (exit on a request whose list of prompt parts, or whose body, contains this text),
/// "raw" (send these bytes, with request id and receipt in place of "{head}", and close the
/// connection), "reset" (reset it instead), "raw_if_resumed" (only to a request that resumes a
/// stream), "run_event_ms" (report four runs that generate an event each after this time),
/// "check_fence" (refuse orders with a lower fencing token than an earlier one, with status 412).
void RunFleetRunner(const FleetRunnerOptions& options);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_FLEET_RUNNER_H_
