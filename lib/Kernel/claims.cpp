//===- claims.cpp - Claims on idempotency keys ----------------------------===//

#include "harelink/Kernel/claims.h"

namespace harelink {

std::string_view toText(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Granted:
        return "granted";
    case ClaimVerdict::Stored:
        return "stored";
    case ClaimVerdict::KeyReused:
        return "key-reused";
    case ClaimVerdict::MayHaveRun:
        return "may-have-run";
    case ClaimVerdict::Unavailable:
        return "unavailable";
    }
    return "unavailable";
}

} // namespace harelink
