#ifndef FUCHSIAWEIR_TEST_CAPACITY_SLOPE_H_
#define FUCHSIAWEIR_TEST_CAPACITY_SLOPE_H_

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaweir::capacity {

/// Measured values by the quantity that varies, in ascending order.
using Points = std::vector<std::pair<double, double>>;

/// Straight line through measured points.
struct Fit {
  double slope = 0;
  double intercept = 0;
  double residual = 0;  ///< Largest distance from the line, as a share of the largest |y|.
  bool bends = false;   ///< The points do not lie on a line, which must not be extended.
};

/// Above this share of the largest value, points are taken not to lie on a line. Processor time of
/// a run on shared cores differs from run to run by about a tenth.
inline constexpr double kMaxResidual = 0.15;

/// Points also bend when the lines through their lower and their upper half, both drawn over the
/// whole range, differ by more than this share of the largest value.
inline constexpr double kMaxTurn = 0.4;

/// Least-squares line through at least four points.
Fit FitLine(const Points& points);

/// One measured relation.
struct Slope {
  std::string name;
  std::string x;  ///< The quantity that varies.
  std::string y;  ///< The measured quantity with its unit.
  Points points;
};

/// A run that measures one or more slopes.
struct Experiment {
  std::string name;
  std::string how;  ///< "in process" or the processes it starts.
  std::function<std::vector<Slope>(uint64_t seed)> run;
};

/// Experiments that call functions of the core.
std::vector<Experiment> CoreExperiments();
/// Experiments that start daemons and stand-ins on loopback.
std::vector<Experiment> ProcessExperiments();

/// Returns the slope as JSON with its fit; `origin` holds the command, seed and date.
boost::json::object EncodeSlope(const Slope& slope, const boost::json::object& origin);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_SLOPE_H_
