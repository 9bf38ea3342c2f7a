//===- queuepace.cpp - Dispatch rate of a queue ---------------------------===//

#include "harelink/Kernel/queuepace.h"

#include "harelink/Kernel/latency.h"

#include <algorithm>

namespace harelink {
namespace {

/// Weight of a sample in the smoothed interval.
constexpr double smoothingFactor = 0.2;
/// A pool with no reachable endpoint is assumed to be restarting for this period: its queue is
/// expected to resume at the earlier rate. After that, it is assumed to be stalled.
constexpr std::chrono::seconds restartPeriod{5};
/// How long a failure to reach any endpoint counts. While requests wait, an unreachable endpoint
/// is retried sooner than this.
constexpr std::chrono::seconds unreachableTtl{1};

} // namespace

void QueuePace::recordWaiting(TimePoint now)
{
    m_sampleStart = now;
    m_lastProgressAt = now;
}

void QueuePace::recordDispatch(TimePoint now)
{
    if (m_sampleStart) {
        const Duration before = decayedEstimate(m_smoothed, now - m_sampledAt);
        const std::chrono::duration<double> difference = now - *m_sampleStart - before;
        m_smoothed = before + std::chrono::duration_cast<Duration>(difference * smoothingFactor);
        m_sampledAt = now;
    }
    m_sampleStart = now;
    m_lastProgressAt = now;
    m_unreachableSince.reset();
}

void QueuePace::recordFull(TimePoint now)
{
    if (!m_sampleStart) {
        m_sampleStart = now;
    }
}

void QueuePace::recordUnreachable(TimePoint now)
{
    recordUnavailable();
    if (!unreachableFor(now)) {
        m_unreachableSince = now;
    }
    m_lastUnreachableAt = now;
}

std::optional<Duration> QueuePace::unreachableFor(TimePoint now) const
{
    if (!m_unreachableSince || now - m_lastUnreachableAt > unreachableTtl) {
        return std::nullopt;
    }
    return now - *m_unreachableSince;
}

Duration QueuePace::interval(TimePoint now, bool isWaiting) const
{
    const Duration estimate = decayedEstimate(m_smoothed, now - m_sampledAt);
    if (const std::optional<Duration> unreachable = unreachableFor(now)) {
        return *unreachable < restartPeriod ? estimate : std::max(estimate, *unreachable);
    }
    return isWaiting ? std::max(estimate, now - m_lastProgressAt) : estimate;
}

} // namespace harelink
