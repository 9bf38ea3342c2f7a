//===- harelink/Kernel/crashes.h - Requests that end endpoints --*- C++ -*-===//
///
/// \file
/// What is told of calls under which an endpoint ended. A request that crashes whatever
/// runs it comes again under new ids, at any host: what is known of it has to be told by
/// its digest, and by all hosts together.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CRASHES_H
#define HARELINK_KERNEL_CRASHES_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/clock.h"
#include "harelink/Support/hash.h"

#include <cstdint>
#include <string>
#include <vector>

namespace harelink {

/// A call whose connection ended in the middle.
struct BrokenCall
{
    Hash128 digest; ///< Of its request, as digestOf() gives it.
    std::string pool;
    std::string endpoint;
    std::string address; ///< Of the endpoint; empty where its life is known to be over.
    TimePoint sentAt;
    TimePoint brokeAt;
    std::string requester; ///< The host that has the request; empty for this one.
};

/// Action: take note of a call whose connection ended in the middle, as that of an endpoint
/// does that ends.
struct CallBroken
{
    CallId call;
    std::string callerId;     ///< Of a proxied request.
    std::uint64_t events = 0; ///< Of its request that were passed on before.
    BrokenCall broken;        ///< Without the address.
};

/// Action: learn whether somebody still listens at an endpoint's address.
struct EndpointProbe
{
    std::string endpoint;
    std::string address;
};

/// What a probe met.
enum class ProbeOutcome {
    Refused,  ///< Nobody listens: the endpoint has ended.
    Accepted, ///< It lives; only the connection ended.
    Unknown,  ///< No answer in time.
};

/// A short name, as in "refused".
[[nodiscard]] std::string_view toText(ProbeOutcome outcome);

/// Event: a probe ended.
struct EndpointProbeResult
{
    std::string endpoint;
    ProbeOutcome outcome = ProbeOutcome::Unknown;
};

/// Action: the worker's word that requests with this digest were run to a good end.
struct RequestCleared
{
    Hash128 digest;
};

/// Event: an endpoint ended under such a request; whether it runs to a good end elsewhere
/// is to be told.
struct RequestSuspected
{
    Hash128 digest;
};

/// That an endpoint ended under a call of such a request. Hosts have no time in common, so
/// times are told as ages.
struct CrashReport
{
    Hash128 digest;
    std::string pool;
    std::string endpoint;
    Duration sentAgo{};
    Duration brokeAgo{};
};

/// Message: endpoints ended under calls of the sender.
struct CrashReports
{
    std::vector<CrashReport> reports;
};

/// Message: such requests were run to a good end at the sender.
struct CrashesCleared
{
    std::vector<Hash128> digests;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHES_H
