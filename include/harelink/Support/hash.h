//===- harelink/Support/hash.h - Stable hashes ------------------*- C++ -*-===//
///
/// \file
/// Hashes that are identical in every process and on every host, for bucket and
/// owner selection and for key digests. Based on xxHash.
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

/// A 128-bit hash.
struct Hash128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Hash128 &) const = default;

    template <typename H>
    // Abseil requires this exact name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    friend H AbslHashValue(H state, const Hash128 &hash)
    {
        return H::combine(std::move(state), hash.high, hash.low);
    }
};

/// Returns a 64-bit hash of \p text with \p seed.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
/// Returns a 64-bit hash of \p value with \p seed.
[[nodiscard]] std::uint64_t hash64(std::uint64_t value, std::uint64_t seed);
/// Maps the hash of \p text uniformly to [0, 1].
[[nodiscard]] double unitHash(std::string_view text);
/// Returns a 128-bit hash of \p text.
[[nodiscard]] Hash128 hash128(std::string_view text);
/// Formats \p hash as 32 lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(const Hash128 &hash);
/// Parses the format of toHex(); returns std::nullopt if \p text is not in this format.
[[nodiscard]] std::optional<Hash128> parseHash(std::string_view text);

} // namespace harelink

#endif // HARELINK_SUPPORT_HASH_H
