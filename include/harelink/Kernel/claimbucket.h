//===- harelink/Kernel/claimbucket.h - Claim bucket records -----*- C++ -*-===//
///
/// \file
/// The records of a claim bucket and their encoding as a platform object.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMBUCKET_H
#define HARELINK_KERNEL_CLAIMBUCKET_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/hash.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// Number of buckets over which idempotency keys are distributed.
///
/// All daemons must use the same value for as long as any key is retained, so
/// it is a constant rather than a setting. More buckets commit more batches per
/// second, at the cost of more writes to the platform.
inline constexpr std::size_t claimBucketCount = 4;

/// Platform kind of the buckets; contains the layout version and the bucket count.
inline constexpr const char *claimBucketKind = "ClaimBucketV1x4";

/// Maximum size of an answer that is stored for retries, in bytes.
inline constexpr std::size_t maxStoredAnswerBytes = 4096;

/// State of one idempotency key.
struct ClaimRecord
{
    enum class State { Claimed, Done, Released, Abandoned };

    RequestId claimant;
    Hash128 digest;
    State state = State::Claimed;
    WallTime changedAt;
    std::string answer;         ///< With state Done.
    bool answerDropped = false; ///< With state Done: the answer was too large to store.
    /// Claimants that released their claim; a delayed copy of it is not written.
    std::vector<RequestId> releasedClaimants;

    bool operator==(const ClaimRecord &) const = default;
};

/// Records of one bucket by key.
using ClaimRecords = std::map<Hash128, ClaimRecord>;

/// Returns the index of the bucket that contains \p key.
[[nodiscard]] std::size_t bucketOf(const Hash128 &key);
/// Returns the name of the platform object that stores \p bucket.
[[nodiscard]] std::string bucketName(std::size_t bucket);
/// Returns the value of the platform object: the records as base64-encoded protobuf.
[[nodiscard]] std::string encodeRecords(const ClaimRecords &records);
/// Parses the output of encodeRecords(); std::nullopt if \p value is malformed.
[[nodiscard]] std::optional<ClaimRecords> decodeRecords(const std::string &value);

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMBUCKET_H
