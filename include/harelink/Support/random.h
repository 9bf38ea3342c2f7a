//===- harelink/Support/random.h - Seeded random numbers --------*- C++ -*-===//
///
/// \file
/// A seeded random number generator with the same sequence on every platform:
/// Boost.Random specifies both the engine and the distributions, the C++ standard
/// only the engine.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_RANDOM_H
#define HARELINK_SUPPORT_RANDOM_H

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace harelink {

/// Generates random numbers from one seed.
class Random
{
public:
    explicit Random(std::uint64_t seed);
    /// Returns a uniform integer in [0, \p bound); \p bound must be positive.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    /// Returns true with probability \p probability.
    [[nodiscard]] bool chance(double probability);
    /// Returns a uniform number in [0, 1).
    [[nodiscard]] double unit();
    /// Returns 64 random bits.
    [[nodiscard]] std::uint64_t bits();

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace harelink

#endif // HARELINK_SUPPORT_RANDOM_H
