//===- harelink/Kernel/claims.h - Claims on idempotency keys ----*- C++ -*-===//
///
/// \file
/// What passes between a request that may run at most once and the ledger of
/// claims.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMS_H
#define HARELINK_KERNEL_CLAIMS_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/hash.h"

#include <string>

namespace harelink {

/// Asks that \p claimant, and nobody else, may run the request of \p key.
struct ClaimRequest
{
    RequestId claimant;
    Hash128 key;        ///< Of account, pipeline and idempotency key.
    Hash128 digest;     ///< Of the method, path and body.
    Duration timeout{}; ///< How long the claimant waits; a length, since hosts share no clock.
};

/// What became of a claim request.
enum class ClaimVerdict {
    Granted,     ///< The claimant, and nobody else, may run it.
    Stored,      ///< It ran before; here is its answer.
    KeyReused,   ///< The key came before with another digest.
    MayHaveRun,  ///< Another claimant had it and nobody will learn how it went.
    Unavailable, ///< The platform cannot be asked; nothing was or will be claimed.
};

/// "granted", "stored" and so on.
[[nodiscard]] std::string_view toText(ClaimVerdict verdict);

/// Answers a ClaimRequest.
struct ClaimDecision
{
    RequestId claimant;
    Hash128 key;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::string answer;   ///< With Stored, byte for byte as it was first given.
    bool inDoubt = false; ///< With Unavailable: a copy may still be written, so release it.
};

/// How a claimant ended.
enum class ClaimOutcome {
    Done,      ///< It ran; the answer is kept for retries.
    Released,  ///< No byte was sent and none will be; the key may be claimed again.
    Abandoned, ///< It may have run and will not be run again.
};

/// Tells the ledger how a claimant ended.
struct ClaimFinish
{
    RequestId claimant;
    Hash128 key;
    ClaimOutcome outcome = ClaimOutcome::Abandoned;
    std::string answer; ///< With Done.
};

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMS_H
