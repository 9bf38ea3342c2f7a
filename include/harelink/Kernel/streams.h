//===- harelink/Kernel/streams.h - Origins of streams -----------*- C++ -*-===//
///
/// \file
/// Events, actions and messages about where a stream began. A stream may only be continued by
/// endpoints of the pool and the software version that sent its first event, also if its caller
/// takes it up again at another host.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_STREAMS_H
#define HARELINK_KERNEL_STREAMS_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/clock.h"
#include "harelink/Support/hash.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// The endpoints that may continue a stream.
struct StreamOrigin
{
    std::string pool;
    std::optional<std::string> softwareVersion; ///< std::nullopt if unknown: no endpoint may.

    bool operator==(const StreamOrigin &) const = default;
};

/// Returns the key of the stream whose first event was brought by the caller's attempt
/// \p callerId. Streams of other accounts or routes have other keys.
[[nodiscard]] Hash128 streamKey(std::string_view account, std::string_view routeHost,
                                std::string_view routePrefix, std::string_view callerId);

/// Action: a stream has got its first event.
struct StreamBegan
{
    Hash128 stream; ///< See streamKey().
    StreamOrigin origin;
    Duration ttl{}; ///< Period in which its caller may take it up again.
    /// Instance to which the call was sent, as EndpointSpec::name; empty if it cannot start again
    /// under its identity.
    std::string endpoint;
    TimePoint sentAt; ///< When the call was sent.
};

/// Event: an endpoint instance has ended; a successor may run under another name.
struct EndpointEnded
{
    std::string endpoint;
    /// Calls that were sent later may have reached the successor, at another software version.
    TimePoint ranUntil = TimePoint::max();
};

/// Action: find the origin of a stream that a caller takes up again.
struct LocateStream
{
    RequestId request;
    std::string callerId; ///< Of the attempt that takes the stream up.
    Hash128 stream;       ///< See streamKey().
};

/// Event: the result of LocateStream.
struct StreamLocated
{
    RequestId request;
    std::optional<StreamOrigin> origin; ///< std::nullopt if no asked host knows it.
};

/// The origin of a stream as hosts report it to each other. Hosts share no clock, so the time
/// until which it is kept is sent as a duration.
struct StreamRecord
{
    Hash128 stream;
    StreamOrigin origin; ///< With a known version.
    Duration ttl{};
    std::string endpoint; ///< See StreamBegan.
    Duration age{};       ///< Time since the call was sent.
};

/// Message: streams began at the sender.
struct StreamRecords
{
    std::vector<StreamRecord> records;
};

/// Message: does the receiver know the origin of a stream?
struct StreamQuery
{
    Hash128 stream;
};

/// Message: the reply to a StreamQuery.
struct StreamReply
{
    Hash128 stream;
    std::optional<StreamRecord> record;
};

} // namespace harelink

#endif // HARELINK_KERNEL_STREAMS_H
