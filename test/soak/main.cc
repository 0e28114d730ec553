// Soaks a fleet of real processes on loopback in overlapping faults and planned work. The schedule
// follows from the seed and the sizes; how the processes' work falls into it does not.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

#include "soak/soak_run.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of the schedule, the sizes and the callers");
ABSL_FLAG(int, seconds, 30, "length of the schedule");
ABSL_FLAG(int, gateways, 0, "number of gateways; 0: by the seed");
ABSL_FLAG(int, runners, 0, "number of runners, each with a sidecar; 0: by the seed");
ABSL_FLAG(int, clients, 0, "number of callers; 0: by the seed");
ABSL_FLAG(int, cap_ms, -1,
          "processor time of each gateway and sidecar in each 100 ms; 0: no cap; -1: by the seed");
ABSL_FLAG(std::string, keep, "", "directory for the logs of seeds with a violation");

namespace fuchsiaweir::soak {
namespace {

/// Whether KNOWN-RED.txt lists the rule for this seed, as "fuchsiaweir_soak Seed3.LOST".
bool IsKnown(uint64_t seed, const std::string& rule) {
  const char* path = std::getenv("FW_KNOWN_RED");
  if (path == nullptr) return false;
  std::ifstream file(path);
  const std::string entry = absl::StrCat("fuchsiaweir_soak Seed", seed, ".", rule);
  for (std::string line; std::getline(file, line);) {
    if (line == entry || line.starts_with(entry + " ")) return true;
  }
  return false;
}

int RunSeed(const SoakOptions& options, const std::string& keep) {
  SoakRun run(options);
  run.Play();
  const std::vector<Violation> violations = run.Judge();
  int unknown = 0;
  for (const Violation& violation : violations) {
    const bool known = IsKnown(options.seed, violation.rule);
    if (!known) ++unknown;
    std::cout << (known ? "known failure: " : "") << run.Explain(violation);
  }
  std::cout << "seed " << options.seed << ": " << violations.size() << " violations, "
            << options.gateways << " gateways, " << options.runners << " runners, "
            << options.clients << " callers, cap " << options.cap_ms << " ms, peak memory "
            << run.peak_memory_mb() << " MB;";
  for (const auto& [outcome, count] : run.outcomes()) {
    std::cout << " " << outcome << "=" << count;
  }
  std::cout << std::endl;
  if (!violations.empty() && !keep.empty()) run.KeepLogs(keep);
  return unknown == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fuchsiaweir::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::string program = argv[0];
  const std::string directory = program.substr(0, program.rfind('/') + 1);
  setenv("FW_BINARY", (directory + "fuchsiaweir").c_str(), /*overwrite=*/0);
  setenv("FW_STANDIN", (directory + "fuchsiaweir_standin").c_str(), /*overwrite=*/0);
  fuchsiaweir::soak::SoakOptions options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.seconds = absl::GetFlag(FLAGS_seconds);
  options.gateways = absl::GetFlag(FLAGS_gateways);
  options.runners = absl::GetFlag(FLAGS_runners);
  options.clients = absl::GetFlag(FLAGS_clients);
  options.cap_ms = absl::GetFlag(FLAGS_cap_ms);
  return fuchsiaweir::soak::RunSeed(fuchsiaweir::soak::DrawSizes(options),
                                    absl::GetFlag(FLAGS_keep));
}
