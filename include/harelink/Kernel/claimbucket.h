//===- harelink/Kernel/claimbucket.h - Records of claims --------*- C++ -*-===//
///
/// \file
/// The content of one claim bucket and how it is written as a platform object.
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

/// The number of buckets over which keys are spread.
///
/// All daemons must agree on it for as long as any key is remembered, so it is
/// a constant and no setting. More buckets commit more batches a second and
/// cost more of the platform's writes.
inline constexpr std::size_t claimBucketCount = 4;

/// The platform kind of the buckets; it names the layout and the count.
inline constexpr const char *claimBucketKind = "ClaimBucketV1x4";

/// The largest answer that is kept for retries, in bytes.
inline constexpr std::size_t maxStoredAnswerBytes = 4096;

/// What is known of one idempotency key.
struct ClaimRecord
{
    enum class State { Claimed, Done, Released, Abandoned };

    RequestId claimant;
    Hash128 digest;
    State state = State::Claimed;
    WallTime changedAt;
    std::string answer;         ///< With Done.
    bool answerDropped = false; ///< Done, but the answer was too large to keep.
    /// Claimants that gave up: a claim of theirs that comes late is not written.
    std::vector<RequestId> releasedClaimants;

    bool operator==(const ClaimRecord &) const = default;
};

/// The records of one bucket by key.
using ClaimRecords = std::map<Hash128, ClaimRecord>;

/// The bucket of \p key.
[[nodiscard]] std::size_t bucketOf(const Hash128 &key);
/// The platform object's name of \p bucket.
[[nodiscard]] std::string bucketName(std::size_t bucket);
/// The object's value: the records as protobuf in base 64.
[[nodiscard]] std::string encodeRecords(const ClaimRecords &records);
/// Reads what encodeRecords() wrote; nothing where it is something else.
[[nodiscard]] std::optional<ClaimRecords> decodeRecords(const std::string &value);

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMBUCKET_H
