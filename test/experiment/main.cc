// Simulates the product's policy, baselines and an oracle on a virtual clock and compares the
// results.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "experiment/report.h"

ABSL_FLAG(std::string, deployment, "all", "kyushu, etnee or all");
ABSL_FLAG(std::string, scenario, "all", "name of a scenario, or all");
ABSL_FLAG(std::string, policy, "all", "name of a policy, or all");
ABSL_FLAG(uint64_t, seed, 1, "random seed of the trace");
ABSL_FLAG(int64_t, requests, 6000, "approximate number of requests per run");
ABSL_FLAG(std::string, output, "markdown", "markdown or json");

namespace fuchsiaweir::experiment {
namespace {

template <typename Item>
std::vector<const Item*> Select(const std::vector<Item>& items, const std::string& name) {
  std::vector<const Item*> selected;
  for (const Item& item : items) {
    if (name == "all" || name == item.name) selected.push_back(&item);
  }
  if (!selected.empty()) return selected;
  std::cerr << "unknown name \"" << name << "\"; allowed are all";
  for (const Item& item : items) std::cerr << ", " << item.name;
  std::cerr << "\n";
  std::exit(2);
}

int Main() {
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "markdown" && output != "json") {
    std::cerr << "unknown output \"" << output << "\"; allowed are markdown, json\n";
    return 2;
  }
  const auto deployments = Select(Deployments(), absl::GetFlag(FLAGS_deployment));
  const auto scenarios = Select(Scenarios(), absl::GetFlag(FLAGS_scenario));
  const auto policies = Select(Policies(), absl::GetFlag(FLAGS_policy));
  std::vector<Cell> cells;
  for (const Deployment* deployment : deployments) {
    for (const Scenario* scenario : scenarios) {
      for (const PolicyEntry* policy : policies) {
        Cell cell =
            Measure(*scenario, Simulate(*deployment, *scenario, *policy,
                                        absl::GetFlag(FLAGS_requests), absl::GetFlag(FLAGS_seed)));
        cell.deployment = deployment->name;
        cell.scenario = scenario->name;
        cell.policy = policy->name;
        cells.push_back(std::move(cell));
      }
    }
  }
  const std::vector<Verdict> verdicts = CheckTargets(cells);
  std::cout << (output == "json" ? Json(cells, verdicts) + "\n" : Markdown(cells, verdicts));
  return 0;
}

}  // namespace
}  // namespace fuchsiaweir::experiment

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Runs scenarios against policies on a seeded virtual clock.");
  absl::ParseCommandLine(argc, argv);
  return fuchsiaweir::experiment::Main();
}
