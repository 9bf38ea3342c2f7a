//===- harelink/Support/random.h - Seeded random numbers --------*- C++ -*-===//
///
/// \file
/// A seeded generator whose draws are the same on every machine: Boost.Random
/// fixes both the engine and the distributions, the standard only the engine.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_RANDOM_H
#define HARELINK_SUPPORT_RANDOM_H

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace harelink {

/// Draws random numbers from one seed.
class Random
{
public:
    explicit Random(std::uint64_t seed);
    /// A whole number in [0, \p bound); \p bound must be above 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    /// True with probability \p probability.
    [[nodiscard]] bool chance(double probability);
    /// A number in [0, 1).
    [[nodiscard]] double unit();
    /// Any 64 bits.
    [[nodiscard]] std::uint64_t bits();

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace harelink

#endif // HARELINK_SUPPORT_RANDOM_H
