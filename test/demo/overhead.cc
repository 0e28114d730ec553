// Measures what entry and agent add to a direct call of the engine: alternates direct calls and
// calls through the entry in one run and prints percentiles of both and of their difference.

#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kCalls = 500;
constexpr char kDirectBody[] =
    R"({"run":"r","prompt":["a"," prompt"],"produced":[],"blocks":[],"block_tokens":50,)"
    R"("max_tokens":1,"priority":0})";

double Millis(Duration duration) { return static_cast<double>(duration.count()) / 1e3; }

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

template <typename Call>
double TimeOf(const Call& call) {
  const TimePoint begin = SteadyNow();
  if (call().status != 200) throw std::runtime_error("a call failed");
  return Millis(SteadyNow() - begin);
}

void Measure() {
  Deployment::Options options;
  options.engine_flags = {"--token_micros=1000"};
  Deployment deployment(options);
  deployment.Start();
  std::vector<double> direct;
  std::vector<double> routed;
  for (int i = 0; i < kCalls; ++i) {
    direct.push_back(TimeOf(
        [&]() { return Send("POST", deployment.port("engine0"), "/v1/generate", kDirectBody); }));
    routed.push_back(TimeOf([&]() { return deployment.Complete("a prompt", 1); }));
  }
  for (const double share : {0.5, 0.95}) {
    const double with = Percentile(routed, share);
    const double without = Percentile(direct, share);
    std::printf("p%.0f: direct %.3f ms, through entry and agent %.3f ms, added %.3f ms\n",
                share * 100, without, with, with - without);
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
