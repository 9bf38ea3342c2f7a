//===- hash.cpp - Stable hashes -------------------------------------------===//

#include "harelink/Support/hash.h"

#include <limits>

#include <charconv>

#include <fmt/format.h>
#include <xxhash.h>

namespace harelink {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash64(std::uint64_t value, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

double unitHash(std::string_view text)
{
    return static_cast<double>(hash64(text))
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

Hash128 hash128(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

std::string toHex(const Hash128 &hash)
{
    return fmt::format("{:016x}{:016x}", hash.high, hash.low);
}

std::optional<Hash128> parseHash(std::string_view text)
{
    constexpr int hexBase = 16;
    constexpr std::size_t digitsPerWord = 16;
    const bool isLowerHex = text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (text.size() != 2 * digitsPerWord || !isLowerHex) {
        return std::nullopt;
    }
    Hash128 hash;
    std::from_chars(text.data(), text.data() + digitsPerWord, hash.high, hexBase);
    std::from_chars(text.data() + digitsPerWord, text.data() + 2 * digitsPerWord, hash.low,
                    hexBase);
    return hash;
}

} // namespace harelink
