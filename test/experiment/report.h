#ifndef FUCHSIAWEIR_EXPERIMENT_REPORT_H_
#define FUCHSIAWEIR_EXPERIMENT_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "experiment/simulation.h"

namespace fuchsiaweir::experiment {

/// Measures of one cell. Times are in seconds. TTFT covers model requests; the extra requests of a
/// flooding team count among the refusals only.
struct Cell {
  std::string deployment, scenario, policy;
  int64_t requests = 0;
  int64_t returns = 0;
  double ttft_p50 = 0, ttft_p95 = 0, ttft_p99 = 0;
  double return_p50 = 0, return_p95 = 0, return_p99 = 0;
  double recompute_p95 = 0;     ///< Prefill of the whole returning prompt on an idle runner.
  double recomputed_share = 0;  ///< Prompt tokens computed again / all prompt tokens.
  double link_gigabytes = 0, wasted_gigabytes = 0;
  int64_t refused = 0, flood_refused = 0, timed_out = 0, lost = 0;
  double goodput = 0;  ///< Requests per second that were served with TTFT <= 1.5 s.
  double change_p95 = 0;
  double change_served = 0;  ///< Share of the requests in the change window that were served.
  int64_t late_dispatches = 0, cold_overloads = 0;
  double messages_per_second = 0;  ///< Of routing, per entry.
  int64_t state_bytes = 0;         ///< Of routing, per entry.
};

/// A target of section 7 of the design page, checked for the product in one cell.
struct Verdict {
  std::string deployment, scenario, target;
  double value = 0, bound = 0;
  double oracle = 0;  ///< The oracle's value of the same measure, or -1.
  bool met = false;
};

Cell Measure(const Scenario& scenario, const RunResult& result);

/// Checks the product's cells against the other policies' cells; skips what was not run.
std::vector<Verdict> CheckTargets(const std::vector<Cell>& cells);

std::string Markdown(const std::vector<Cell>& cells, const std::vector<Verdict>& verdicts);
std::string Json(const std::vector<Cell>& cells, const std::vector<Verdict>& verdicts);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_REPORT_H_
