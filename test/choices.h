#ifndef FUCHSIAWEIR_TEST_CHOICES_H_
#define FUCHSIAWEIR_TEST_CHOICES_H_

#include <cstdint>
#include <random>

/// Uniform random choices of a model-based test, whose seed and number of steps RapidCheck
/// generates. RapidCheck's own ranges grow with its size parameter, so small sizes would never give
/// rare faults.
class Choices {
 public:
  explicit Choices(uint32_t seed) : engine_(seed) {}

  /// Returns a value from 0 to n - 1.
  int Below(int n) { return static_cast<int>(engine_() % static_cast<uint32_t>(n)); }
  /// Returns true with probability 1/n.
  bool OneIn(int n) { return Below(n) == 0; }

 private:
  std::mt19937 engine_;
};

#endif  // FUCHSIAWEIR_TEST_CHOICES_H_
