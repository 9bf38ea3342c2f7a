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
#include <array>
#include <cstddef>

namespace harelink {

/// Distinguishes suspensions of this process from the delays of a busy one, by the delays of checks
/// that are made periodically.
class SuspensionMeter
{
public:
    /// \param tolerance a delay that exceeds the usual one by no more is no suspension.
    explicit SuspensionMeter(Duration tolerance)
        : m_tolerance(tolerance)
    {
    }

    /// Records that a check is made \p delay after it was due. Returns for how long this process
    /// was suspended before; zero if it was not.
    [[nodiscard]] Duration recordDelay(Duration delay)
    {
        const Duration usual = *std::min_element(m_delays.begin(), m_delays.end());
        m_delays[m_next] = std::max(delay, Duration::zero());
        m_next = (m_next + 1) % m_delays.size();
        return delay - usual > m_tolerance ? delay - usual : Duration::zero();
    }

private:
    Duration m_tolerance;
    /// Of the last checks. A process may be suspended again before its next check is on time.
    std::array<Duration, 4> m_delays{};
    std::size_t m_next = 0;
};

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
