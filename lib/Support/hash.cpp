//===- hash.cpp - Stable hashes -------------------------------------------===//

#include "harelink/Support/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace harelink {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
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

} // namespace harelink
