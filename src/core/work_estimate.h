#ifndef FUCHSIAWEIR_CORE_WORK_ESTIMATE_H_
#define FUCHSIAWEIR_CORE_WORK_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/runner_record.h"
#include "core/work_quantile.h"

namespace fuchsiaweir {

/// Work of a request that is to be placed.
struct RequestWork {
  Duration objective{0};      ///< For the first event.
  int64_t prompt_tokens = 0;  ///< All of the prompt.
  int64_t shared_tokens = 0;  ///< Its parts that its home runner is likely to have cached.
};

/// What is known of the work at a runner.
struct RunnerWork {
  Duration pace{0};     ///< Current time per event; zero: not measured, or too old.
  int64_t running = 0;  ///< Runs in the last report.
  int64_t waiting = 0;  ///< Requests that waited for a place in the last report.
  int64_t reading = 0;  ///< Runs whose prompts were being read in the last report.
  int64_t placed = 0;   ///< Requests that this gateway has placed since.
  bool full = false;    ///< A request waits there until a run ends.
};

/// Learns the usual pace of a service's runners and the time to a first event, and derives expected
/// times to the first event from the work at a runner.
///
/// Load pattern: 15 in 100 runners take 2.5 times as long for periods of 0.6 s, while the times of
/// single requests differ by a factor of ten. No gateway sees enough of any runner to notice, so
/// the pace is measured at the runners, and only the usual times are learned here.
class ServiceWork {
 public:
  void OnPace(Duration pace) { usual_pace_us_.Add(static_cast<double>(pace.count())); }
  /// Returns the runner's current pace relative to the usual one; 1 if either is unknown.
  double Slowdown(Duration pace) const;

  /// Records the time to the first event of a request that found no queue, with the tokens that
  /// were not likely cached and the runner's slowdown when it was sent.
  void OnFirstEvent(int64_t uncached_tokens, double slowdown, Duration elapsed);
  void OnOutput(int64_t tokens);

  /// Returns the expected time to the first event, or nothing if too little has been observed.
  std::optional<Duration> ExpectedFirstEvent(const RunnerWork& runner,
                                             int64_t uncached_tokens) const;

  /// Returns the part of it in which the runner reads the request's own prompt.
  Duration ReadingTime(const RunnerWork& runner, int64_t uncached_tokens) const;

  Duration usual_pace() const { return Micros(static_cast<int64_t>(usual_pace_us_.value())); }
  double mean_output() const { return output_weight_ > 0 ? output_tokens_ / output_weight_ : 0; }

 private:
  /// Time to the first event at the usual pace: `base_us + us_per_token * tokens`.
  struct Line {
    double base_us = 0;
    double us_per_token = 0;
  };
  Line FitLine() const;

  RunningQuantile usual_pace_us_{0.5};
  // Decayed sums over the samples of tokens (x) and times (y).
  double weight_ = 0;
  double x_ = 0;
  double y_ = 0;
  double xx_ = 0;
  double xy_ = 0;
  Line line_;
  double output_weight_ = 0;
  double output_tokens_ = 0;
};

/// The estimates of all services.
class WorkEstimates {
 public:
  void OnPace(const std::string& service, Duration pace) { services_[service].OnPace(pace); }
  ServiceWork& Service(const std::string& service) { return services_[service]; }
  /// Returns null if nothing was observed of the service.
  const ServiceWork* FindService(const std::string& service) const;

 private:
  std::map<std::string, ServiceWork> services_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WORK_ESTIMATE_H_
