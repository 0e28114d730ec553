#include "core/work_estimate.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Paces of the service after which the usual one is used: two reports of a few runners.
constexpr int64_t kMinPaces = 8;
// Bounds of the slowdown. A pause of all runs for a long prompt looks like a much slower runner.
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 5;
// Share that a sample leaves of the sums of earlier ones: about 100 samples count, the last 6 s of
// a gateway with 16 requests a second.
constexpr double kSampleDecay = 0.99;
constexpr double kMinSamples = 10;
// A sample counts as at most this multiple of the expected time. One request in a hundred takes
// over ten times the median, and a single one would otherwise raise the estimate by a tenth.
constexpr double kMaxSampleFactor = 3;
// Share of the time to a first event that is assumed to depend on the prompt's size, and the weight
// of this assumption: samples of prompts whose sizes have this relative variance. Without it,
// prompts of equal size would have no cost of their own.
constexpr double kAssumedReadingShare = 0.5;
constexpr double kAssumedSamples = 10;
constexpr double kAssumedVariance = 0.1;

}  // namespace

double ServiceWork::Slowdown(Duration pace) const {
  if (pace <= Duration{0} || usual_pace_us_.count() < kMinPaces) return 1;
  return std::clamp(static_cast<double>(pace.count()) / usual_pace_us_.value(), kMinSlowdown,
                    kMaxSlowdown);
}

void ServiceWork::OnFirstEvent(int64_t uncached_tokens, double slowdown, Duration elapsed) {
  const auto x = static_cast<double>(std::max<int64_t>(0, uncached_tokens));
  double y = static_cast<double>(elapsed.count()) / std::max(kMinSlowdown, slowdown);
  if (weight_ >= kMinSamples) {
    y = std::min(y, kMaxSampleFactor * (line_.base_us + line_.us_per_token * x));
  }
  weight_ = weight_ * kSampleDecay + 1;
  x_ = x_ * kSampleDecay + x;
  y_ = y_ * kSampleDecay + y;
  xx_ = xx_ * kSampleDecay + x * x;
  xy_ = xy_ * kSampleDecay + x * y;
  line_ = FitLine();
}

ServiceWork::Line ServiceWork::FitLine() const {
  const double mean_x = x_ / weight_;
  const double mean_y = y_ / weight_;
  if (mean_x <= 0) return {mean_y, 0};
  const double variance = std::max(0.0, xx_ / weight_ - mean_x * mean_x);
  const double covariance = xy_ / weight_ - mean_x * mean_y;
  const double max_slope = mean_y / mean_x;
  const double assumed = kAssumedSamples / weight_ * kAssumedVariance * mean_x * mean_x;
  const double slope =
      std::clamp((covariance + kAssumedReadingShare * max_slope * assumed) / (variance + assumed),
                 0.0, max_slope);
  return {mean_y - slope * mean_x, slope};
}

void ServiceWork::OnOutput(int64_t tokens) {
  output_weight_ = output_weight_ * kSampleDecay + 1;
  output_tokens_ = output_tokens_ * kSampleDecay + static_cast<double>(tokens);
}

std::optional<Duration> ServiceWork::ExpectedFirstEvent(const RunnerWork& runner,
                                                        int64_t uncached_tokens) const {
  if (weight_ < kMinSamples || usual_pace_us_.count() < kMinPaces) return std::nullopt;
  const auto tokens = static_cast<double>(std::max<int64_t>(0, uncached_tokens));
  const double prompt_us = line_.us_per_token * (x_ / weight_);  // Of another request's prompt.
  const auto ahead = static_cast<double>(runner.waiting + runner.placed);
  // Prompts are read one after the other.
  const double unread = ahead + static_cast<double>(runner.reading);
  double expected =
      (line_.base_us + line_.us_per_token * tokens + unread * prompt_us) * Slowdown(runner.pace);
  if (runner.full) {
    // The runs end one after the other, so a place becomes free each output time / runs.
    const double event_us = runner.pace > Duration{0} ? static_cast<double>(runner.pace.count())
                                                      : usual_pace_us_.value();
    const double runs = static_cast<double>(std::max<int64_t>(1, runner.running));
    expected += (ahead + 1) * mean_output() * event_us / runs;
  }
  return Micros(static_cast<int64_t>(std::min(expected, 3.6e9)));
}

Duration ServiceWork::ReadingTime(const RunnerWork& runner, int64_t uncached_tokens) const {
  const auto tokens = static_cast<double>(std::max<int64_t>(0, uncached_tokens));
  return Micros(static_cast<int64_t>(line_.us_per_token * tokens * Slowdown(runner.pace)));
}

const ServiceWork* WorkEstimates::FindService(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace fuchsiaweir
