#ifndef FUCHSIAWEIR_TEST_CAPACITY_SLOPE_H_
#define FUCHSIAWEIR_TEST_CAPACITY_SLOPE_H_

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaweir::capacity {

/// Measured points (x, y) in ascending order of x.
using Points = std::vector<std::pair<double, double>>;

/// Least-squares line through measured points.
struct Fit {
  double slope = 0;
  double intercept = 0;
  double residual = 0;     ///< Largest absolute residual as a fraction of the largest |y|.
  bool nonlinear = false;  ///< The line does not describe the points and must not be extrapolated.
};

/// Points with a larger residual are nonlinear. The limit exceeds the run-to-run variation of CPU
/// time on shared cores, which is about 10 %.
inline constexpr double kMaxResidual = 0.15;

/// Points are also nonlinear if the slopes of their lower and their upper half, both multiplied by
/// the range of x, differ by more than this fraction of the largest |y|.
inline constexpr double kMaxSlopeChange = 0.4;

/// Fits a line to at least four points. Throws std::runtime_error for fewer points or equal x.
Fit FitLine(const Points& points);

/// Measured dependence of one quantity on another.
struct Slope {
  std::string name;
  std::string x;  ///< Independent variable.
  std::string y;  ///< Dependent variable with its unit.
  Points points;
};

/// Measurement of one or more slopes.
struct Experiment {
  std::string name;
  std::string setup;  ///< "in process" or the processes that it starts.
  std::function<std::vector<Slope>(uint64_t seed)> run;
};

/// Returns the experiments that call functions of src/core in this process.
std::vector<Experiment> CoreExperiments();
/// Returns the experiments that start daemons and stand-ins on loopback.
std::vector<Experiment> ProcessExperiments();

/// Encodes the points and their fit, followed by the fields of `origin` (setup, command,
/// seed and date).
boost::json::object EncodeSlope(const Slope& slope, const boost::json::object& origin);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_SLOPE_H_
