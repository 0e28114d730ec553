// Measures the latency that entry and agent add to a call of the engine. Alternates direct calls
// and calls through the entry in one run and prints percentiles of both and their difference.

#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kCalls = 500;
constexpr char kEngineRequest[] =
    R"({"run":"r","prompt":["a"," prompt"],"produced":[],"blocks":[],"block_tokens":50,)"
    R"("max_tokens":1,"priority":0})";

double ToMillis(Duration duration) { return static_cast<double>(duration.count()) / 1e3; }

double Percentile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

/// Returns the duration of a call in milliseconds. Throws if its status is not 200.
template <typename Call>
double MeasureMillis(const Call& call) {
  const TimePoint begin = SteadyNow();
  const int status = call().status;
  if (status != 200) {
    throw std::runtime_error("a call failed with status " + std::to_string(status));
  }
  return ToMillis(SteadyNow() - begin);
}

void Measure() {
  Deployment::Options options;
  options.engine_flags = {"--token_micros=1000"};
  Deployment deployment(options);
  deployment.Start();
  std::vector<double> direct_samples;
  std::vector<double> routed_samples;
  for (int i = 0; i < kCalls; ++i) {
    direct_samples.push_back(MeasureMillis([&]() {
      return Send("POST", deployment.port("engine0"), "/v1/generate", kEngineRequest);
    }));
    routed_samples.push_back(MeasureMillis([&]() { return deployment.Complete("a prompt", 1); }));
  }
  for (const double fraction : {0.5, 0.95}) {
    const double routed_ms = Percentile(routed_samples, fraction);
    const double direct_ms = Percentile(direct_samples, fraction);
    std::printf("p%.0f: direct %.3f ms, through entry and agent %.3f ms, added %.3f ms\n",
                fraction * 100, direct_ms, routed_ms, routed_ms - direct_ms);
  }
}

}  // namespace
}  // namespace fuchsiaweir::testing

int main() {
  try {
    fuchsiaweir::testing::Measure();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "measurement failed: %s\n", e.what());
    return 1;
  }
}
