#ifndef FUCHSIAWEIR_CORE_WORK_OUTPUT_H_
#define FUCHSIAWEIR_CORE_WORK_OUTPUT_H_

#include <cstdint>

namespace fuchsiaweir {

/// Quantile of positive values that follows their changes, in constant memory.
class RunningQuantile {
 public:
  explicit RunningQuantile(double share) : share_(share) {}

  void Add(double value);
  /// 0 before the first value.
  double value() const;
  int64_t count() const { return count_; }

 private:
  double share_;
  double log_value_ = 0;
  int64_t count_ = 0;
};

/// Learns how many tokens the requests of one route generate.
///
/// Load pattern: requests of equal size whose outputs differ by a factor of a hundred, and hints of
/// the length that are right at the median but often far off.
class OutputModel {
 public:
  /// Records a complete output. `hint` is the caller's estimate of its tokens; 0: none.
  void OnOutput(int64_t hint, int64_t tokens);
  /// Returns the expected output tokens, at most `max_tokens` if that is above 0; 0 if nothing is
  /// known. The hint counts by how much better than the route's median it has been.
  double Expected(int64_t hint, int64_t max_tokens) const;

  double median() const { return median_.value(); }
  double upper_quartile() const { return upper_quartile_.value(); }

 private:
  RunningQuantile median_{0.5};
  RunningQuantile upper_quartile_{0.75};
  RunningQuantile hint_bias_{0.5};     ///< Output relative to the hint.
  RunningQuantile hint_error_{0.5};    ///< Factor between output and hint, at least 1.
  RunningQuantile median_error_{0.5};  ///< Same for the route's median.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WORK_OUTPUT_H_
