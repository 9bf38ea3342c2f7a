//===- harelink/Adapters/stalltimer.h - Detection of stalls -----*- C++ -*-===//
///
/// \file
/// Detects a peer that takes nothing although data waits for it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_STALLTIMER_H
#define HARELINK_ADAPTERS_STALLTIMER_H

#include "harelink/Support/clock.h"

#include <algorithm>

namespace harelink {

/// Measures for how long a transfer has made no progress.
class StallTimer
{
public:
    /// \param limit a transfer without progress for this time is stalled.
    explicit StallTimer(Duration limit)
        : m_limit(limit)
    {
    }

    /// Records that data begins to wait.
    void start(TimePoint now) { m_progressAt = now; }
    /// Records that a part of the data was taken.
    void recordProgress(TimePoint now) { m_progressAt = now; }
    /// Leaves out \p time before \p now in which this process was suspended.
    void excludeTime(Duration time, TimePoint now)
    {
        m_progressAt = std::min(now, m_progressAt + time);
    }
    /// Returns the time without progress from which on the transfer is stalled.
    [[nodiscard]] Duration limit() const { return m_limit; }
    [[nodiscard]] bool isStalled(TimePoint now) const { return now - m_progressAt >= limit(); }

private:
    Duration m_limit;
    TimePoint m_progressAt; ///< When data was taken last, or began to wait.
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_STALLTIMER_H
