//===- harelink/Kernel/types.h - Identities and outcomes --------*- C++ -*-===//
///
/// \file
/// Request and call identifiers, request outcomes and the reasons for failures.
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

/// Identifies one run of a daemon process; chosen at random at each start.
using Incarnation = std::uint64_t;

/// Identifies a request uniquely across all daemons and restarts.
struct RequestId
{
    Incarnation incarnation = 0; ///< Of the daemon that received the request.
    std::uint64_t sequence = 0;  ///< Increases within the incarnation.
    auto operator<=>(const RequestId &) const = default;
};

/// Identifies one send of one stage of a request. The endpoint echoes it in its answer.
struct CallId
{
    RequestId request;
    std::uint32_t stage = 0;   ///< Index into the stages of the pipeline.
    std::uint32_t attempt = 0; ///< Increases within the request, across all stages.
    auto operator<=>(const CallId &) const = default;
};

/// Returns "incarnation-sequence" in hexadecimal.
[[nodiscard]] std::string toText(const RequestId &id);
/// Returns "incarnation-sequence-stage-attempt" in hexadecimal.
[[nodiscard]] std::string toText(const CallId &id);
/// Parses the output of toText(CallId); std::nullopt if \p text is malformed.
[[nodiscard]] std::optional<CallId> parseCallId(std::string_view text);

/// The execution state of a finished request, as reported to the caller.
enum class Outcome {
    NotRun,        ///< No byte of any stage was sent, or the endpoint refused it before running it.
    Completed,     ///< Every stage ran and the answer is complete.
    RanIncomplete, ///< Some stages completed; the others certainly did not run.
    Unknown,       ///< A stage was sent and may have run.
};

/// Returns "completed", "not-run", "incomplete" or "unknown".
[[nodiscard]] std::string_view toText(Outcome outcome);

/// Why a request was not completed.
enum class Reason {
    None,
    UnknownPipeline,
    UnknownAccount,
    KeyMissing, ///< The pipeline is not repeatable and the request has no idempotency key.
    BodyTooLarge,
    TooManyRequests, ///< The daemon has reached its limit of requests in progress.
    CannotFinish,    ///< The predicted time exceeds the deadline.
    NoEndpoint,      ///< The pool has no endpoint that accepts work.
    DeadlineExceeded,
    StageFailed,
    ClaimUnavailable, ///< The claim could not be acquired from the platform in time.
    KeyReused,        ///< The idempotency key was used with another request before.
    MayHaveRun,       ///< The key was claimed earlier and the outcome of that request is unknown.
    Draining,         ///< The daemon is stopping.
    NotReady,         ///< The daemon has not received a configuration yet.
    Quarantined,      ///< Requests with this digest have crashed endpoints and are no longer run.
    CallerGone,       ///< The caller disconnected; the answer is not delivered.
    /// No endpoint of the software version at which the stream began accepts work.
    StreamVersionGone,
    /// The caller takes up a stream, and no host that was asked knows where it began.
    StreamUnknown,
    CallerTooSlow, ///< The caller did not read its answer and was disconnected.
};
/// The number of enumerators of Reason.
inline constexpr std::size_t reasonCount = static_cast<std::size_t>(Reason::CallerTooSlow) + 1;

/// Returns the name used in metrics, such as "cannot-finish".
[[nodiscard]] std::string_view toText(Reason reason);

/// Whether an endpoint may have run a call that failed.
enum class SendEvidence {
    NothingSent,      ///< The connection was not established.
    RefusedBeforeRun, ///< The endpoint reported, as its protocol allows, that nothing ran.
    Sent,             ///< Bytes were sent; the endpoint may have run the call.
};

/// Time and cost of one stage.
struct StageCost
{
    std::string stage;
    std::string pool;
    Duration elapsed{}; ///< From send to answer, summed over all attempts.
    Duration busy{};    ///< Service time reported by the endpoint; else the elapsed time.
    double cost = 0;    ///< The busy time multiplied by the pool's cost per second.
    std::uint32_t sends = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_TYPES_H
