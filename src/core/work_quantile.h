#ifndef FUCHSIAWEIR_CORE_WORK_QUANTILE_H_
#define FUCHSIAWEIR_CORE_WORK_QUANTILE_H_

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

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WORK_QUANTILE_H_
