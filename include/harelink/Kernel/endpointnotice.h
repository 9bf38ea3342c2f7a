//===- harelink/Kernel/endpointnotice.h - Words of endpoints ----*- C++ -*-===//
///
/// \file
/// What an endpoint says of itself beside an answer.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_ENDPOINTNOTICE_H
#define HARELINK_KERNEL_ENDPOINTNOTICE_H

#include "harelink/Support/clock.h"

#include <optional>
#include <string>

namespace harelink {

/// What one answer says of its endpoint.
struct EndpointNotice
{
    /// The requests per second that the endpoint accepts from all hosts together; absent
    /// where the answer states no limit.
    std::optional<double> requestsPerSecond;
    Duration pause{};       ///< It accepts nothing from this host for so long; zero for none.
    bool isLeaving = false; ///< It accepts no new work.
    Duration coldFor{};     ///< It stays cold for so long; zero where it does not say so.
    /// The limit could not be read: neither stated nor lifted.
    bool isLimitUnreadable = false;
    /// The name and the value of the last field that could not be read; empty for none.
    std::string unreadable;

    [[nodiscard]] bool hasContent() const
    {
        return requestsPerSecond || pause > Duration::zero() || isLeaving || !unreadable.empty();
    }
};

/// Event: an endpoint's answer says something of the endpoint.
struct EndpointNoticed
{
    std::string endpoint;
    EndpointNotice notice;
    TimePoint sentAt; ///< When the request was sent that was answered.
};

/// Action: ask an endpoint whether it is cold.
struct CheckColdState
{
    std::string endpoint;
    std::string address;
    std::string path;
};

/// Event: an endpoint has answered whether it is cold, or has not.
struct ColdStateChecked
{
    std::string endpoint;
    TimePoint askedAt;
    /// For how long it stays cold, zero where it is warm; nothing without an answer.
    std::optional<Duration> coldFor;
};

} // namespace harelink

#endif // HARELINK_KERNEL_ENDPOINTNOTICE_H
