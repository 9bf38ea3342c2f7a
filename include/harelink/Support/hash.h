//===- harelink/Support/hash.h - Stable hashes ------------------*- C++ -*-===//
///
/// \file
/// Hashes that are the same in every process and on every machine: bucket and
/// owner choices, key digests. xxHash does the work.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_HASH_H
#define HARELINK_SUPPORT_HASH_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace harelink {

/// A 128-bit hash of a text.
struct Hash128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Hash128 &) const = default;

    template <typename H>
    // Abseil looks for this very name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    friend H AbslHashValue(H state, const Hash128 &hash)
    {
        return H::combine(std::move(state), hash.high, hash.low);
    }
};

/// A 64-bit hash of \p text under \p seed.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
/// Maps a text uniformly to [0, 1].
[[nodiscard]] double unitHash(std::string_view text);
/// A 128-bit hash of \p text.
[[nodiscard]] Hash128 hash128(std::string_view text);
/// Thirty-two lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(const Hash128 &hash);
/// Reads what toHex() wrote.
[[nodiscard]] std::optional<Hash128> parseHash(std::string_view text);

} // namespace harelink

#endif // HARELINK_SUPPORT_HASH_H
