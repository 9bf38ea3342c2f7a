//===- random.cpp - Seeded random numbers ---------------------------------===//

#include "harelink/Support/random.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cassert>

namespace harelink {

Random::Random(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t Random::below(std::uint64_t bound)
{
    assert(bound > 0 && "the range must not be empty");
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

bool Random::chance(double probability)
{
    return unit() < probability;
}

double Random::unit()
{
    return boost::random::uniform_01<double>()(m_engine);
}

std::uint64_t Random::bits()
{
    return m_engine();
}

} // namespace harelink
