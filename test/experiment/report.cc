#include "experiment/report.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

namespace fuchsiaweir::experiment {
namespace {

namespace json = boost::json;

/// Maximum TTFT of a request that counts as goodput.
constexpr Duration kMaxGoodputTtft = Millis(1500);

/// Nearest-rank percentile.
double Percentile(std::vector<double> values, double percent) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = percent / 100 * static_cast<double>(values.size());
  const auto index = static_cast<size_t>(std::max(0.0, rank - 0.5));
  return values[std::min(index, values.size() - 1)];
}

struct Samples {
  std::vector<double> all, returns, recompute, change;
  int64_t prompt_tokens = 0, recomputed_tokens = 0;
  int64_t good = 0, change_total = 0, change_served = 0;
};

void AddModelRequest(const Outcome& outcome, bool in_change, Samples& samples) {
  const Request& request = *outcome.request;
  // A request that was not served counts with the caller's timeout, so that refusals improve no
  // percentile.
  const bool served = outcome.status == RequestStatus::kServed;
  const double ttft = ToSeconds(served ? outcome.ttft : kCallerTimeout);
  samples.all.push_back(ttft);
  if (in_change) samples.change.push_back(ttft);
  samples.prompt_tokens += request.prompt_tokens;
  samples.recomputed_tokens += outcome.recomputed_tokens;
  if (request.turn == 0) return;
  samples.returns.push_back(ttft);
  samples.recompute.push_back(ToSeconds(PrefillTime(request.prompt_tokens)));
}

void AddOutcome(const Outcome& outcome, bool in_change, Cell& cell, Samples& samples) {
  if (outcome.request->flood) {
    cell.flood_refused += outcome.status == RequestStatus::kRefused ? 1 : 0;
    return;
  }
  const bool served = outcome.status == RequestStatus::kServed;
  cell.requests += 1;
  cell.returns += outcome.request->turn > 0 ? 1 : 0;
  cell.refused += outcome.status == RequestStatus::kRefused ? 1 : 0;
  cell.timed_out += outcome.status == RequestStatus::kTimedOut ? 1 : 0;
  cell.lost +=
      outcome.status == RequestStatus::kLost || outcome.status == RequestStatus::kPending ? 1 : 0;
  samples.change_total += in_change ? 1 : 0;
  samples.change_served += in_change && served ? 1 : 0;
  samples.good += served && outcome.ttft <= kMaxGoodputTtft ? 1 : 0;
  if (!outcome.request->service_call) AddModelRequest(outcome, in_change, samples);
}

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// A numeric column of the table and the JSON document; exactly one member pointer is set.
struct Column {
  const char* name;
  double Cell::*number = nullptr;
  int64_t Cell::*count = nullptr;
};

const std::vector<Column>& Columns() {
  static const auto& columns = *new std::vector<Column>{
      {"requests", nullptr, &Cell::requests},
      {"returns", nullptr, &Cell::returns},
      {"ttft_p50_s", &Cell::ttft_p50},
      {"ttft_p95_s", &Cell::ttft_p95},
      {"ttft_p99_s", &Cell::ttft_p99},
      {"return_p50_s", &Cell::return_p50},
      {"return_p95_s", &Cell::return_p95},
      {"return_p99_s", &Cell::return_p99},
      {"recompute_p95_s", &Cell::recompute_p95},
      {"recomputed_share", &Cell::recomputed_share},
      {"link_gb", &Cell::link_gigabytes},
      {"wasted_gb", &Cell::wasted_gigabytes},
      {"refused", nullptr, &Cell::refused},
      {"flood_refused", nullptr, &Cell::flood_refused},
      {"timed_out", nullptr, &Cell::timed_out},
      {"lost", nullptr, &Cell::lost},
      {"goodput_per_s", &Cell::goodput},
      {"change_p95_s", &Cell::change_p95},
      {"change_served", &Cell::change_served},
      {"late_dispatches", nullptr, &Cell::late_dispatches},
      {"cold_overloads", nullptr, &Cell::cold_overloads},
      {"messages_per_s", &Cell::messages_per_second},
      {"state_bytes", nullptr, &Cell::state_bytes},
  };
  return columns;
}

/// Returns the cell of a scenario and policy in the deployment of `reference`, or null.
const Cell* FindCell(const std::vector<Cell>& cells, const Cell& reference,
                     const std::string& scenario, const std::string& policy) {
  for (const Cell& cell : cells) {
    if (cell.deployment == reference.deployment && cell.scenario == scenario &&
        cell.policy == policy) {
      return &cell;
    }
  }
  return nullptr;
}

struct Checker {
  const std::vector<Cell>& cells;
  std::vector<Verdict> verdicts;

  template <typename Number>
  void CheckAtMost(const Cell& cell, const std::string& target, Number Cell::*metric,
                   double bound) {
    const Cell* oracle = FindCell(cells, cell, cell.scenario, "oracle");
    const auto value = static_cast<double>(cell.*metric);
    const double reference = oracle == nullptr ? -1 : static_cast<double>(oracle->*metric);
    verdicts.push_back(
        {cell.deployment, cell.scenario, target, value, bound, reference, value <= bound});
  }

  void CheckAgainstOracle(const Cell& cell) {
    const Cell* oracle = FindCell(cells, cell, cell.scenario, "oracle");
    if (oracle == nullptr) return;
    CheckAtMost(cell, "return p95 <= 1.25 x oracle", &Cell::return_p95, 1.25 * oracle->return_p95);
    CheckAtMost(cell, "recomputed share <= 1.15 x oracle", &Cell::recomputed_share,
                1.15 * oracle->recomputed_share);
  }

  void CheckAgainstBaselines(const Cell& cell) {
    double best_ttft_p95 = std::numeric_limits<double>::max();
    double best_return_p95 = best_ttft_p95;
    for (const char* name : {"round_robin", "least_loaded", "prefix_affinity"}) {
      const Cell* baseline = FindCell(cells, cell, cell.scenario, name);
      if (baseline == nullptr) return;
      best_ttft_p95 = std::min(best_ttft_p95, baseline->ttft_p95);
      best_return_p95 = std::min(best_return_p95, baseline->return_p95);
    }
    CheckAtMost(cell, "p95 <= best baseline", &Cell::ttft_p95, best_ttft_p95);
    CheckAtMost(cell, "return p95 <= best baseline", &Cell::return_p95, best_return_p95);
  }

  void CheckDataCentreDrain(const Cell& cell) {
    if (cell.scenario != "data_centre_leaves") return;
    CheckAtMost(cell, "no dispatch 3 s after drain", &Cell::late_dispatches, 0);
    CheckAtMost(cell, "no lost request", &Cell::lost, 0);
    const Cell* steady = FindCell(cells, cell, "steady", cell.policy);
    if (steady == nullptr) return;
    CheckAtMost(cell, "p95 in the change <= 1.5 x steady", &Cell::change_p95,
                1.5 * steady->change_p95);
  }
};

std::string Table(const std::vector<Cell>& cells) {
  std::string text = "| deployment | scenario | policy |";
  std::string rule = "|---|---|---|";
  for (const Column& column : Columns()) {
    text += absl::StrFormat(" %s |", column.name);
    rule += "---:|";
  }
  text += "\n" + rule + "\n";
  for (const Cell& cell : cells) {
    text += absl::StrFormat("| %s | %s | %s |", cell.deployment, cell.scenario, cell.policy);
    for (const Column& column : Columns()) {
      text += column.count != nullptr ? absl::StrFormat(" %d |", cell.*column.count)
                                      : absl::StrFormat(" %.3f |", cell.*column.number);
    }
    text += "\n";
  }
  return text;
}

}  // namespace

Cell Measure(const Scenario& scenario, const RunResult& result) {
  Cell cell;
  Samples samples;
  const double length = ToSeconds(result.length);
  for (const Outcome& outcome : result.outcomes) {
    const double arrival = ToSeconds(outcome.request->arrival - TimePoint{}) / length;
    const bool in_change = arrival >= scenario.window_start && arrival < scenario.window_end;
    AddOutcome(outcome, in_change, cell, samples);
  }
  cell.ttft_p50 = Percentile(samples.all, 50);
  cell.ttft_p95 = Percentile(samples.all, 95);
  cell.ttft_p99 = Percentile(samples.all, 99);
  cell.return_p50 = Percentile(samples.returns, 50);
  cell.return_p95 = Percentile(samples.returns, 95);
  cell.return_p99 = Percentile(samples.returns, 99);
  cell.recompute_p95 = Percentile(samples.recompute, 95);
  cell.recomputed_share = Ratio(samples.recomputed_tokens, samples.prompt_tokens);
  cell.link_gigabytes = static_cast<double>(result.link_bytes) / 1e9;
  cell.wasted_gigabytes = static_cast<double>(result.wasted_bytes) / 1e9;
  cell.goodput = static_cast<double>(samples.good) / length;
  cell.change_p95 = Percentile(samples.change, 95);
  cell.change_served = Ratio(samples.change_served, samples.change_total);
  cell.late_dispatches = result.late_dispatches;
  cell.cold_overloads = result.cold_overloads;
  cell.messages_per_second = static_cast<double>(result.routing.messages) / length;
  cell.state_bytes = result.routing.state_bytes;
  return cell;
}

std::vector<Verdict> CheckTargets(const std::vector<Cell>& cells) {
  Checker checker{cells, {}};
  for (const Cell& cell : cells) {
    if (cell.policy != "fuchsiaweir") continue;
    checker.CheckAtMost(cell, "return p95 <= 0.25 x recomputing", &Cell::return_p95,
                        0.25 * cell.recompute_p95);
    checker.CheckAgainstOracle(cell);
    checker.CheckAgainstBaselines(cell);
    checker.CheckDataCentreDrain(cell);
  }
  return checker.verdicts;
}

std::string Markdown(const std::vector<Cell>& cells, const std::vector<Verdict>& verdicts) {
  std::string text = Table(cells);
  text += "\n| deployment | scenario | target | measured | bound | oracle | result |\n";
  text += "|---|---|---|---:|---:|---:|---|\n";
  for (const Verdict& verdict : verdicts) {
    text += absl::StrFormat("| %s | %s | %s | %.4f | %.4f | %.4f | %s |\n", verdict.deployment,
                            verdict.scenario, verdict.target, verdict.value, verdict.bound,
                            verdict.oracle, verdict.met ? "met" : "missed");
  }
  return text;
}

std::string Json(const std::vector<Cell>& cells, const std::vector<Verdict>& verdicts) {
  json::array rows;
  for (const Cell& cell : cells) {
    json::object row{
        {"deployment", cell.deployment}, {"scenario", cell.scenario}, {"policy", cell.policy}};
    for (const Column& column : Columns()) {
      if (column.count != nullptr) row[column.name] = cell.*column.count;
      if (column.number != nullptr) row[column.name] = cell.*column.number;
    }
    rows.push_back(std::move(row));
  }
  json::array targets;
  for (const Verdict& verdict : verdicts) {
    targets.push_back(json::object{{"deployment", verdict.deployment},
                                   {"scenario", verdict.scenario},
                                   {"target", verdict.target},
                                   {"measured", verdict.value},
                                   {"bound", verdict.bound},
                                   {"oracle", verdict.oracle},
                                   {"met", verdict.met}});
  }
  return json::serialize(json::object{{"cells", std::move(rows)}, {"targets", std::move(targets)}});
}

}  // namespace fuchsiaweir::experiment
