#ifndef FUCHSIAWEIR_TEST_STANDIN_FLEET_STORE_H_
#define FUCHSIAWEIR_TEST_STANDIN_FLEET_STORE_H_

namespace fuchsiaweir::standin {

/// Stand-in for the store of the users' platform: objects by kind and name with revisions,
/// conditional updates and watches. A PUT without a revision is unconditional, which tests use to
/// write as the operator.
///
/// POST /fault sets faults: "down" (refuse all calls), "silent" (never respond), "forget_history"
/// (discard the changes up to now, so that watches from earlier revisions fail with status 410).
void RunFleetStore(int port);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_FLEET_STORE_H_
