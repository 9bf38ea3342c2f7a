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
    constexpr int hexadecimal = 16;
    constexpr std::size_t half = 16;
    const bool isLowerHex = text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (text.size() != 2 * half || !isLowerHex) {
        return std::nullopt;
    }
    Hash128 hash;
    std::from_chars(text.data(), text.data() + half, hash.high, hexadecimal);
    std::from_chars(text.data() + half, text.data() + 2 * half, hash.low, hexadecimal);
    return hash;
}

} // namespace harelink
