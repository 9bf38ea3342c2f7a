//===- harelink/Kernel/crashes.h - Endpoint crash reports -------*- C++ -*-===//
///
/// \file
/// Events and messages about calls during which an endpoint crashed. A request that crashes
/// every endpoint that runs it is retried under new ids at any host, so crashes are reported
/// by the digest of the request and aggregated over all hosts.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CRASHES_H
#define HARELINK_KERNEL_CRASHES_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/clock.h"
#include "harelink/Support/hash.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// A call whose connection closed before the response was complete.
struct BrokenCall
{
    Hash128 digest; ///< Of its request, as computed by digestOf().
    std::string pool;
    std::string endpoint;
    std::string address; ///< Of the endpoint; empty if this endpoint process is known to be gone.
    TimePoint sentAt;
    TimePoint brokeAt;
    std::string requestHost; ///< The host that owns the request; empty for this host.
    /// Digests of the parts of its prompt, as computed by promptPartDigests(); empty if the
    /// endpoint had begun to answer.
    std::vector<Hash128> promptParts;
};

/// Action: report a call whose connection closed before the response was complete, which
/// happens when an endpoint crashes.
struct BrokenCallReport
{
    CallId call;
    std::string callerId;     ///< Of a proxied request.
    std::uint64_t events = 0; ///< Events of its request that were forwarded before.
    std::optional<std::string> softwareVersion; ///< Of the endpoint; see EndpointSpec.
    BrokenCall broken;                          ///< Without the address.
};

/// Action: probe whether any process still listens at the address of an endpoint.
struct EndpointProbe
{
    std::string endpoint;
    std::string address;
};

/// Result of an endpoint probe.
enum class ProbeOutcome {
    Refused,  ///< Nothing listens at the address: the endpoint has exited.
    Accepted, ///< The endpoint is running; only the connection closed.
    Unknown,  ///< No response within the timeout.
};

/// Returns the name of \p outcome, such as "refused".
[[nodiscard]] std::string_view toText(ProbeOutcome outcome);

/// Event: a probe completed.
struct EndpointProbeResult
{
    std::string endpoint;
    ProbeOutcome outcome = ProbeOutcome::Unknown;
};

/// Action: report that a request with this digest, or with this part in its prompt, completed
/// successfully on this worker.
struct RequestCleared
{
    Hash128 digest;
};

/// Event: an endpoint crashed during a request with this digest, or with this part in its prompt;
/// the worker reports its next successful completion by RequestCleared, and for a part also a
/// recent one.
struct RequestSuspected
{
    Hash128 digest;
    bool isPromptPart = false;
};

/// Reports that an endpoint crashed during a call of a request with this digest, or with this
/// part in its prompt. Hosts do not share a clock, so times are sent as ages.
struct CrashReport
{
    Hash128 digest;
    std::string pool;
    std::string endpoint;
    Duration sentAgo{};
    Duration brokeAgo{};
    bool isPromptPart = false;
};

/// Message: endpoints crashed during calls of the sender.
struct CrashReports
{
    std::vector<CrashReport> reports;
};

/// Message: requests with these digests completed successfully at the sender.
struct CrashesCleared
{
    std::vector<Hash128> digests;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHES_H
