//===- queuepace.cpp - How fast a queue moves -----------------------------===//

#include "harelink/Kernel/queuepace.h"

#include "harelink/Kernel/latency.h"

#include <algorithm>

namespace harelink {
namespace {

/// Share by which one dispatch moves the smoothed interval.
constexpr double smoothing = 0.2;
/// So long a pool of which nobody can be reached is taken to be restarting: its queue
/// is expected to move on as before. Later it is taken to stand still.
constexpr std::chrono::seconds restartAllowance{5};
/// An endpoint that could not be reached is asked again sooner than this while requests wait.
constexpr std::chrono::seconds unreachableMemory{1};

} // namespace

void QueuePace::recordWaiting(TimePoint now)
{
    m_sampleFrom = now;
    m_movedAt = now;
}

void QueuePace::recordDispatch(TimePoint now)
{
    if (m_sampleFrom) {
        const Duration before = decayedEstimate(m_smoothed, now - m_sampledAt);
        const std::chrono::duration<double> difference = now - *m_sampleFrom - before;
        m_smoothed = before + std::chrono::duration_cast<Duration>(difference * smoothing);
        m_sampledAt = now;
    }
    m_sampleFrom = now;
    m_movedAt = now;
    m_unreachableSince.reset();
}

void QueuePace::recordFull(TimePoint now)
{
    if (!m_sampleFrom) {
        m_sampleFrom = now;
    }
}

void QueuePace::recordUnreachable(TimePoint now)
{
    recordUnavailable();
    if (!unreachableFor(now)) {
        m_unreachableSince = now;
    }
    m_unreachableSeen = now;
}

std::optional<Duration> QueuePace::unreachableFor(TimePoint now) const
{
    if (!m_unreachableSince || now - m_unreachableSeen > unreachableMemory) {
        return std::nullopt;
    }
    return now - *m_unreachableSince;
}

Duration QueuePace::interval(TimePoint now, bool isWaiting) const
{
    const Duration usual = decayedEstimate(m_smoothed, now - m_sampledAt);
    if (const std::optional<Duration> unreachable = unreachableFor(now)) {
        return *unreachable < restartAllowance ? usual : std::max(usual, *unreachable);
    }
    return isWaiting ? std::max(usual, now - m_movedAt) : usual;
}

} // namespace harelink
