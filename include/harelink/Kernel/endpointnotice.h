//===- harelink/Kernel/endpointnotice.h - Endpoint notices ------*- C++ -*-===//
///
/// \file
/// State that an endpoint reports about itself with its answers.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_ENDPOINTNOTICE_H
#define HARELINK_KERNEL_ENDPOINTNOTICE_H

#include "harelink/Kernel/reportedload.h"
#include "harelink/Support/clock.h"

#include <optional>
#include <string>

namespace harelink {

/// The endpoint state reported by one answer.
struct EndpointNotice
{
    /// The requests per second that the endpoint accepts from all hosts together;
    /// std::nullopt if the answer announces no limit.
    std::optional<double> requestsPerSecond;
    Duration pause{};       ///< Time for which it accepts nothing from this host; zero for none.
    bool isLeaving = false; ///< It accepts no new work.
    /// Calls per second from all hosts that it can reject for lack of room without failing;
    /// std::nullopt if it states none.
    std::optional<double> rejectionsPerSecond;
    std::optional<EndpointLoadReport> load; ///< std::nullopt if it reports none.
    Duration coldFor{};                     ///< Remaining time in cold state; zero if not reported.
    /// The limit could not be parsed: it counts neither as announced nor as lifted.
    bool isLimitUnreadable = false;
    bool isLoadUnreadable = false; ///< A figure of the load report could not be parsed.
    /// Name and value of the last field that could not be parsed; empty if none.
    std::string unreadable;

    [[nodiscard]] bool hasContent() const
    {
        return requestsPerSecond || pause > Duration::zero() || isLeaving || !unreadable.empty();
    }
};

/// Event: an endpoint's answer contained a notice.
struct EndpointNoticed
{
    std::string endpoint;
    EndpointNotice notice;
    TimePoint sentAt; ///< When the answered request was sent.
};

/// Action: query the status of an endpoint to find out whether it is cold.
struct CheckColdState
{
    std::string endpoint;
    std::string address;
    std::string path;
};

/// Event: a cold check was answered or failed.
struct ColdStateChecked
{
    std::string endpoint;
    TimePoint askedAt;
    /// Remaining time in cold state, zero if warm; std::nullopt without an answer.
    std::optional<Duration> coldFor;
};

} // namespace harelink

#endif // HARELINK_KERNEL_ENDPOINTNOTICE_H
