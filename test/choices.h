#ifndef FUCHSIAWEIR_TEST_CHOICES_H_
#define FUCHSIAWEIR_TEST_CHOICES_H_

#include <cstdint>
#include <random>

/// Uniform choices of a model test. RapidCheck generates the seed and the number of steps: its own
/// ranges grow with the size parameter, so that small sizes would never choose a rare fault.
class Choices {
 public:
  explicit Choices(uint32_t seed) : engine_(seed) {}

  /// Returns a value from 0 to n - 1.
  int Below(int n) { return static_cast<int>(engine_() % static_cast<uint32_t>(n)); }
  bool OneIn(int n) { return Below(n) == 0; }

 private:
  std::mt19937 engine_;
};

#endif  // FUCHSIAWEIR_TEST_CHOICES_H_
