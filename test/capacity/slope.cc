#include "capacity/slope.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace fuchsiaweir::capacity {
namespace {

namespace json = boost::json;

constexpr size_t kMinPoints = 4;

/// Rounds to four significant digits, which exceeds the repeatability of the measurements.
double RoundSignificant(double value) {
  if (value == 0) return 0;
  const double scale = std::pow(10.0, 3 - std::floor(std::log10(std::abs(value))));
  return std::round(value * scale) / scale;
}

struct Line {
  double slope = 0;
  double intercept = 0;
};

Line LeastSquares(const Points& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : points) {
    covariance += (x - mean_x) * (y - mean_y);
    variance += (x - mean_x) * (x - mean_x);
  }
  if (variance == 0) throw std::runtime_error("cannot fit a line: all points have the same x");
  return {covariance / variance, mean_y - covariance / variance * mean_x};
}

}  // namespace

Fit FitLine(const Points& points) {
  if (points.size() < kMinPoints) {
    throw std::runtime_error("cannot fit a line to " + std::to_string(points.size()) +
                             " points; at least " + std::to_string(kMinPoints) + " are needed");
  }
  const Line line = LeastSquares(points);
  Fit fit{line.slope, line.intercept, 0, false};
  double largest = 0;
  for (const auto& [x, y] : points) largest = std::max(largest, std::abs(y));
  for (const auto& [x, y] : points) {
    const double residual = std::abs(y - fit.intercept - fit.slope * x);
    if (largest > 0) fit.residual = std::max(fit.residual, residual / largest);
  }
  const size_t middle = points.size() / 2;
  const Line lower = LeastSquares({points.begin(), points.begin() + middle + 1});
  const Line upper = LeastSquares({points.begin() + middle - 1, points.end()});
  const double range = points.back().first - points.front().first;
  const double slope_change = std::abs(upper.slope - lower.slope) * range;
  fit.nonlinear = fit.residual > kMaxResidual || slope_change > kMaxSlopeChange * largest;
  return fit;
}

json::object EncodeSlope(const Slope& slope, const json::object& origin) {
  const Fit fit = FitLine(slope.points);
  json::array points;
  for (const auto& [x, y] : slope.points) points.push_back(json::array{x, RoundSignificant(y)});
  json::object encoded{{"x", slope.x},
                       {"y", slope.y},
                       {"points", std::move(points)},
                       {"slope", RoundSignificant(fit.slope)},
                       {"intercept", RoundSignificant(fit.intercept)},
                       {"residual", RoundSignificant(fit.residual)},
                       {"bends", fit.nonlinear}};
  for (const auto& item : origin) encoded[item.key()] = item.value();
  return encoded;
}

}  // namespace fuchsiaweir::capacity
