// Measures how the costs of each process role grow with load and fleet size, and computes the
// resource needs of the two-year size from them.
//
//   fuchsiaweir_capacity measure [--only=NAME]   measures the slopes and writes them to a file
//   fuchsiaweir_capacity list                    lists the experiments
//   fuchsiaweir_capacity page [--check]          rewrites or checks the tables of the page

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <boost/json.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "capacity/page.h"
#include "capacity/slope.h"

ABSL_FLAG(std::string, only, "",
          "name of the only experiment to run; the file keeps the slopes of the others");
ABSL_FLAG(uint64_t, seed, 1, "seed of the measurements");
ABSL_FLAG(std::string, slopes, "test/capacity/slopes.json", "file with the slopes");
ABSL_FLAG(std::string, model, "test/capacity/model.ini", "file with the inputs and formulas");
ABSL_FLAG(std::string, page, "docs/CAPACITY.md", "page with the tables");
ABSL_FLAG(bool, check, false, "compare the page's tables instead of rewriting them");

namespace fuchsiaweir::capacity {
namespace {

namespace json = boost::json;

constexpr int kExitUnknownExperiment = 2;
constexpr int kExitUsage = 64;  // EX_USAGE of sysexits.h.

std::vector<Experiment> AllExperiments() {
  std::vector<Experiment> all = CoreExperiments();
  for (Experiment& experiment : ProcessExperiments()) all.push_back(std::move(experiment));
  return all;
}

json::object ReadSlopes(const std::string& file) {
  std::ifstream input(file);
  if (!input) return {};
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  return json::parse(text).as_object();
}

/// Writes one slope per line, so that a new measurement changes only the lines of its slopes.
void WriteSlopes(const std::string& file, const json::object& slopes) {
  std::ofstream output(file);
  const char* separator = "{\n";
  for (const auto& item : slopes) {
    output << separator << json::serialize(item.key()) << ":" << json::serialize(item.value());
    separator = ",\n";
  }
  output << "\n}\n";
}

int Measure() {
  const std::string only = absl::GetFlag(FLAGS_only);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  json::object slopes = ReadSlopes(absl::GetFlag(FLAGS_slopes));
  bool any_selected = false;
  for (const Experiment& experiment : AllExperiments()) {
    if (!only.empty() && experiment.name != only) continue;
    any_selected = true;
    std::cerr << experiment.name << "\n";
    const std::string date = absl::FormatTime("%Y-%m-%d", absl::Now(), absl::UTCTimeZone());
    const json::object origin{
        {"how", experiment.setup},
        {"command", absl::StrCat("fuchsiaweir_capacity measure --only=", experiment.name)},
        {"seed", seed},
        {"date", date}};
    for (const Slope& slope : experiment.run(seed)) {
      slopes[slope.name] = EncodeSlope(slope, origin);
    }
    WriteSlopes(absl::GetFlag(FLAGS_slopes), slopes);
  }
  if (any_selected) return 0;
  std::cerr << "unknown experiment \"" << only
            << "\"; fuchsiaweir_capacity list prints the names\n";
  return kExitUnknownExperiment;
}

int Main(const std::string& command) {
  if (command == "measure") return Measure();
  if (command == "page") {
    return UpdatePage({absl::GetFlag(FLAGS_model), absl::GetFlag(FLAGS_slopes),
                       absl::GetFlag(FLAGS_page), absl::GetFlag(FLAGS_check)});
  }
  if (command == "list") {
    for (const Experiment& experiment : AllExperiments()) {
      std::cout << experiment.name << " (" << experiment.setup << ")\n";
    }
    return 0;
  }
  std::cerr << "usage: fuchsiaweir_capacity measure|list|page\n";
  return kExitUsage;
}

}  // namespace
}  // namespace fuchsiaweir::capacity

int main(int argc, char** argv) {
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  try {
    return fuchsiaweir::capacity::Main(arguments.size() > 1 ? arguments[1] : "");
  } catch (const std::exception& e) {
    std::cerr << "fuchsiaweir_capacity: " << e.what() << "\n";
    return 1;
  }
}
