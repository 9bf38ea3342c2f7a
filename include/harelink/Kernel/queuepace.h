//===- harelink/Kernel/queuepace.h - Dispatch rate of a queue ---*- C++ -*-===//
///
/// \file
/// Estimates the time between two dispatches from one worker's queue of a pool.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_QUEUEPACE_H
#define HARELINK_KERNEL_QUEUEPACE_H

#include "harelink/Support/clock.h"

#include <optional>

namespace harelink {

/// Estimates the dispatch interval of a queue while the endpoints of its pool accept calls.
///
/// Periods in which no endpoint may be sent to are not sampled, since dispatch resumes at the
/// earlier rate afterwards. Without samples the estimate decays, because it no longer reflects
/// the load.
class QueuePace
{
public:
    /// Records that a request waits in a queue that was empty.
    void recordWaiting(TimePoint now);
    /// Records that a waiting request was sent.
    void recordDispatch(TimePoint now);
    /// Records that requests wait for a free slot at endpoints that accept calls.
    void recordFull(TimePoint now);
    /// Records that requests wait and no endpoint may be sent to, regardless of its load; or that
    /// this process was suspended.
    void recordUnavailable() { m_sampleStart.reset(); }
    /// Like recordUnavailable(); also records that no endpoint could be reached recently.
    void recordUnreachable(TimePoint now);

    /// Returns the expected time from one dispatch to the next.
    /// \param isWaiting Whether requests wait now.
    [[nodiscard]] Duration interval(TimePoint now, bool isWaiting) const;
    /// Returns for how long no endpoint could be reached; std::nullopt if one can be reached, or
    /// if there was no recent attempt.
    [[nodiscard]] std::optional<Duration> unreachableFor(TimePoint now) const;

private:
    Duration m_smoothed{};
    TimePoint m_sampledAt;
    std::optional<TimePoint> m_sampleStart; ///< Unset while the next dispatch is not sampled.
    TimePoint m_lastProgressAt;             ///< Last dispatch, or start of waiting.
    std::optional<TimePoint> m_unreachableSince;
    TimePoint m_lastUnreachableAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_QUEUEPACE_H
