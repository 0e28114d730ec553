#ifndef FUCHSIAWEIR_TEST_STANDIN_FLEET_STORE_H_
#define FUCHSIAWEIR_TEST_STANDIN_FLEET_STORE_H_

namespace fuchsiaweir::standin {

/// Stand-in for the store of the users' platform: objects by kind and name with revisions,
/// conditional updates and watches. A PUT without a revision is unconditional, which tests use to
/// write as the operator. A PUT to an object's path with "/status" replaces only its status.
///
/// POST /fault sets faults: "down" (refuse all calls), "silent" (never respond), "forget_history"
/// (discard the changes up to now, so that watches from earlier revisions fail with status 410),
/// "silence_open_connections" (never respond on connections that are open now), "silence_port"
/// (never respond to calls to that port; 0: to none), "refuse_port" (respond with status 503 to
/// calls to that port; 0: to none), "busy" (respond to lists and watches with
/// status 429), "reads_per_s" (the same beyond this number of them a second; 0: no limit),
/// "history_always_gone" (respond to each watch with status 410),
/// "no_history" (send no "Store-Era"), "save_copy" (copy the contents), "restore_copy" (come
/// back with the copy, and answer no GET for this number of milliseconds; revisions go back),
/// "skip_revisions" (use up this number of revisions).
///
/// GET /stats returns the number of lists, watches and responses with status 410 and 429.
///
/// The store is served on both ports, so that tests can cut off some of its clients.
void RunFleetStore(int port, int second_port);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_FLEET_STORE_H_
