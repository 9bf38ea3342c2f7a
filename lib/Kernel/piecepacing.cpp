//===- piecepacing.cpp - Spacing of calls ---------------------------------===//

#include "harelink/Kernel/piecepacing.h"

#include <algorithm>
#include <cmath>

namespace harelink {
namespace {

/// The time constant of the average covers a few calls.
constexpr std::chrono::milliseconds averagingTime{1000};
/// Calls are spaced in part from the first utilization on, and fully from the second one on.
constexpr double spacedFrom = 0.5;
constexpr double fullySpacedFrom = 0.7;
/// With fewer endpoints, an interval is about as long as the wait that it avoids.
constexpr std::size_t minSpacedEndpoints = 4;

} // namespace

void Utilization::record(double share, TimePoint now)
{
    m_average = value(now);
    m_share = share;
    m_recordedAt = now;
}

double Utilization::value(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_recordedAt)
                           / std::chrono::duration<double>(averagingTime);
    return m_share + (m_average - m_share) * std::exp(-std::max(0.0, elapsed));
}

TimePoint earliestCallStart(const CallPacing &pacing)
{
    if (pacing.isFull || pacing.endpoints < minSpacedEndpoints
        || pacing.utilization <= spacedFrom) {
        return TimePoint::min();
    }
    const double part =
        std::min(1.0, (pacing.utilization - spacedFrom) / (fullySpacedFrom - spacedFrom));
    const TimePoint spaced = pacing.lastCallAt
                             + std::chrono::duration_cast<Duration>(
                                 pacing.callTime * (part / static_cast<double>(pacing.endpoints)));
    return std::min(spaced, pacing.latest);
}

} // namespace harelink
