//===- harelink/Kernel/queuepace.h - How fast a queue moves -----*- C++ -*-===//
///
/// \file
/// The time between two requests that one worker sends on from its queue of a pool.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_QUEUEPACE_H
#define HARELINK_KERNEL_QUEUEPACE_H

#include "harelink/Support/clock.h"

#include <optional>

namespace harelink {

/// Learns how fast a queue moves while the endpoints of its pool take calls.
///
/// Times in which no endpoint may be sent to are no samples: the queue moves on as before once
/// one may. Without samples the estimate fades, as it says less and less of the load.
class QueuePace
{
public:
    /// A request waits where none did.
    void recordWaiting(TimePoint now);
    /// A waiting request was sent.
    void recordDispatch(TimePoint now);
    /// Requests wait for room at endpoints that take calls.
    void recordFull(TimePoint now);
    /// Requests wait, and no endpoint may be sent to, whatever its load; or this process stood
    /// still.
    void recordUnavailable() { m_sampleFrom.reset(); }
    /// As recordUnavailable(), and no endpoint could be reached lately.
    void recordUnreachable(TimePoint now);

    /// The time from one dispatch to the next that a new request has to expect.
    /// \param isWaiting whether requests wait now.
    [[nodiscard]] Duration interval(TimePoint now, bool isWaiting) const;
    /// For how long no endpoint could be reached; nothing where one can be, or where nobody
    /// has tried lately.
    [[nodiscard]] std::optional<Duration> unreachableFor(TimePoint now) const;

private:
    Duration m_smoothed{};
    TimePoint m_sampledAt;
    std::optional<TimePoint> m_sampleFrom; ///< Nothing while the next dispatch is no sample.
    TimePoint m_movedAt;                   ///< The last dispatch, or since when requests wait.
    std::optional<TimePoint> m_unreachableSince;
    TimePoint m_unreachableSeen;
};

} // namespace harelink

#endif // HARELINK_KERNEL_QUEUEPACE_H
