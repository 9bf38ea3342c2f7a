//===- harelink/Kernel/types.h - Identities and outcomes --------*- C++ -*-===//
///
/// \file
/// The identities that tie every answer to its request, and the outcome that a
/// caller is told.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_TYPES_H
#define HARELINK_KERNEL_TYPES_H

#include "harelink/Support/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// One start of one daemon; drawn anew at each start.
using Incarnation = std::uint64_t;

/// A request, unique over all daemons and restarts.
struct RequestId
{
    Incarnation incarnation = 0; ///< Of the daemon that took it in.
    std::uint64_t sequence = 0;  ///< Rises within the incarnation.
    auto operator<=>(const RequestId &) const = default;
};

/// One send of one stage of one request. An endpoint's answer brings it back.
struct CallId
{
    RequestId request;
    std::uint32_t stage = 0;   ///< Index within the pipeline.
    std::uint32_t attempt = 0; ///< Rises within the request, over all stages.
    auto operator<=>(const CallId &) const = default;
};

/// "incarnation-sequence" in hexadecimal.
[[nodiscard]] std::string toText(const RequestId &id);
/// "incarnation-sequence-stage-attempt" in hexadecimal.
[[nodiscard]] std::string toText(const CallId &id);
/// Reads what toText(CallId) wrote.
[[nodiscard]] std::optional<CallId> parseCallId(std::string_view text);

/// What a caller is told of its request.
enum class Outcome {
    NotRun,        ///< No byte of any stage left this daemon, or its endpoint refused it unrun.
    Completed,     ///< Every stage ran and the whole answer is here.
    RanIncomplete, ///< Some stages ran to their end, the others surely did not run.
    Unknown,       ///< A stage was sent and may or may not have run.
};

/// "completed", "not-run", "incomplete" or "unknown".
[[nodiscard]] std::string_view toText(Outcome outcome);

/// Why a request was not completed.
enum class Reason {
    None,
    UnknownPipeline,
    UnknownAccount,
    KeyMissing, ///< The pipeline may not be repeated and there is no idempotency key.
    BodyTooLarge,
    TooManyRequests, ///< The daemon holds as many as it may.
    CannotFinish,    ///< The predicted time does not fit into the deadline.
    NoEndpoint,      ///< The pool has none that may be sent work.
    DeadlineExceeded,
    StageFailed,
    ClaimUnavailable, ///< The platform could not be asked for the claim in time.
    KeyReused,        ///< The key came before with another request.
    MayHaveRun,       ///< The key was claimed and what became of it is not known.
    Draining,         ///< The daemon is stopping.
    NotReady,         ///< The daemon has no configuration yet.
    Quarantined,      ///< Endpoints have ended under such requests, which are not run any more.
    CallerGone,       ///< The caller's connection broke; nobody hears this.
};
/// How many reasons there are.
inline constexpr std::size_t reasonCount = static_cast<std::size_t>(Reason::CallerGone) + 1;

/// A short name for metrics, as in "cannot-finish".
[[nodiscard]] std::string_view toText(Reason reason);

/// What is known of whether an endpoint saw a call that failed.
enum class SendEvidence {
    NothingSent,      ///< The connection was never made.
    RefusedBeforeRun, ///< The endpoint says, as its protocol allows, that nothing ran.
    Sent,             ///< Bytes left; the endpoint may have run it.
};

/// Time and cost that one stage took.
struct StageCost
{
    std::string stage;
    std::string pool;
    Duration elapsed{}; ///< From the send to the answer, over all attempts.
    Duration busy{};    ///< The endpoint's own time, where it tells it.
    double cost = 0;    ///< The busy time at the pool's price.
    std::uint32_t sends = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_TYPES_H
