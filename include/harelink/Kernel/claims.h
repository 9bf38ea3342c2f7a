//===- harelink/Kernel/claims.h - Claims on idempotency keys ----*- C++ -*-===//
///
/// \file
/// Messages between a request that may run at most once and the claim ledger.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMS_H
#define HARELINK_KERNEL_CLAIMS_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/hash.h"

#include <string>

namespace harelink {

/// Requests the exclusive right of \p claimant to run the request with \p key.
struct ClaimRequest
{
    RequestId claimant;
    Hash128 key;        ///< Hash of the account, pipeline and idempotency key.
    Hash128 digest;     ///< Hash of the method, path and body.
    Duration timeout{}; ///< Client timeout; a duration, since hosts do not share a clock.
};

/// Result of a claim request.
enum class ClaimVerdict {
    Granted,     ///< The claimant has the exclusive right to run the request.
    Stored,      ///< The request completed earlier; the decision contains its answer.
    KeyReused,   ///< The key was used before with a different digest.
    MayHaveRun,  ///< Another claimant held the key and its outcome cannot be determined.
    Unavailable, ///< The platform cannot be reached; nothing was or will be claimed.
};

/// Returns the name of \p verdict, such as "granted".
[[nodiscard]] std::string_view toText(ClaimVerdict verdict);

/// Response to a ClaimRequest.
struct ClaimDecision
{
    RequestId claimant;
    Hash128 key;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::string answer;   ///< With Stored: the original answer, byte for byte.
    bool inDoubt = false; ///< With Unavailable: a copy of the claim may still be written, so the
                          ///< request must release it.
};

/// How a claimant finished.
enum class ClaimOutcome {
    Done,      ///< The request ran; its answer is stored for retries.
    Released,  ///< No byte was sent or will be sent; the key may be claimed again.
    Abandoned, ///< The request may have run and will not be run again.
};

/// Reports to the ledger how a claimant finished.
struct ClaimFinish
{
    RequestId claimant;
    Hash128 key;
    ClaimOutcome outcome = ClaimOutcome::Abandoned;
    std::string answer; ///< With Done.
};

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMS_H
