// Random number interface of the core. Tests use a fixed seed.

#ifndef KUMQUATPITCH_RANDOM_SOURCE_H
#define KUMQUATPITCH_RANDOM_SOURCE_H

#include <cstdint>
#include <random>

namespace kumquatpitch {

class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Returns 64 random bits.
  virtual std::uint64_t next() = 0;

  /// Returns a number in [0, Bound), or 0 when Bound is 0.
  std::uint64_t below(std::uint64_t Bound) {
    return Bound == 0 ? 0 : next() % Bound;
  }
};

/// Reproducible sequence from a seed; the same on every build.
class SeededRandom : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine_(Seed) {}

  std::uint64_t next() override { return Engine_(); }

private:
  std::mt19937_64 Engine_;
};

} // namespace kumquatpitch

#endif
