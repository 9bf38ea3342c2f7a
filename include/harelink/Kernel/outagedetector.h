//===- harelink/Kernel/outagedetector.h - Outages of the store --*- C++ -*-===//
///
/// \file
/// Tells outages of the platform's store, in which objects may expire, from single calls that are
/// lost.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_OUTAGEDETECTOR_H
#define HARELINK_KERNEL_OUTAGEDETECTOR_H

#include "harelink/Support/clock.h"

#include <algorithm>

namespace harelink {

/// Follows the calls of this host to the store. The store may cut off a watch that waits, and a
/// connection may go silent, so a failed call is evidence of an outage only if no other call is
/// answered for a while.
class OutageDetector
{
public:
    /// The shortest outage that counts. It exceeds the time in which the loss of a single call is
    /// noticed and the next call is answered. Objects expire after longer ones only, as their
    /// writers miss several writes.
    static constexpr std::chrono::milliseconds minOutage{1200};

    /// Records that a call was answered at \p now. Returns whether an outage has ended by that.
    bool recordAnswer(TimePoint now)
    {
        const bool hasEnded =
            m_failingSince != TimePoint::max() && now - m_failingSince >= minOutage;
        m_lastOutage = hasEnded ? now - m_failingSince : m_lastOutage;
        m_failingSince = TimePoint::max();
        m_answeredAt = now;
        return hasEnded;
    }
    /// Records that a call failed at \p now, to which the store would have answered by \p dueAt.
    void recordFailure(TimePoint now, TimePoint dueAt)
    {
        const TimePoint since = std::max(m_answeredAt, std::min(now, dueAt));
        m_failingSince = std::min(m_failingSince, since);
    }
    /// Returns the length of the last outage that has ended; zero if there was none.
    [[nodiscard]] Duration lastOutage() const { return m_lastOutage; }

private:
    TimePoint m_answeredAt = TimePoint::min();
    TimePoint m_failingSince = TimePoint::max(); ///< max() while calls are answered.
    Duration m_lastOutage{};
};

} // namespace harelink

#endif // HARELINK_KERNEL_OUTAGEDETECTOR_H
