#ifndef FUCHSIAWEIR_EXPERIMENT_REPORT_H_
#define FUCHSIAWEIR_EXPERIMENT_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "experiment/simulation.h"

namespace fuchsiaweir::experiment {

/// Metrics of one policy in one scenario of a deployment. Times are in seconds. TTFT covers model
/// requests only; the extra requests of a flooding team count only in `flood_refused`.
struct Cell {
  std::string deployment, scenario, policy;
  int64_t requests = 0;
  int64_t returns = 0;  ///< Requests after the first turn of a session.
  double ttft_p50 = 0, ttft_p95 = 0, ttft_p99 = 0;
  double return_p50 = 0, return_p95 = 0, return_p99 = 0;
  double recompute_p95 = 0;     ///< Full prefill of the returning prompts on an idle runner.
  double recomputed_share = 0;  ///< Prompt tokens computed again / all prompt tokens.
  double link_gigabytes = 0, wasted_gigabytes = 0;
  int64_t refused = 0, flood_refused = 0, timed_out = 0, lost = 0;
  double goodput = 0;        ///< Requests per second served with TTFT <= 1.5 s.
  double change_p95 = 0;     ///< TTFT of the requests in the change window.
  double change_served = 0;  ///< Share of the requests in the change window that were served.
  int64_t late_dispatches = 0, cold_overloads = 0;
  double messages_per_second = 0;  ///< Of routing, per entry.
  int64_t state_bytes = 0;         ///< Of routing, per entry.
};

/// Result of checking the product's policy against a target of section 7 of the design page.
struct Verdict {
  std::string deployment, scenario, target;
  double value = 0, bound = 0;
  double oracle = 0;  ///< The oracle's value of the same metric, or -1 if it was not run.
  bool met = false;
};

Cell Measure(const Scenario& scenario, const RunResult& result);

/// Checks the product's cells against those of the other policies. Targets whose reference cells
/// were not run are skipped.
std::vector<Verdict> CheckTargets(const std::vector<Cell>& cells);

std::string Markdown(const std::vector<Cell>& cells, const std::vector<Verdict>& verdicts);
std::string Json(const std::vector<Cell>& cells, const std::vector<Verdict>& verdicts);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_REPORT_H_
