//===- returnslots.cpp - Returns of callers -------------------------------===//

#include "harelink/Kernel/returnslots.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace harelink {
namespace {

using Seconds = std::chrono::duration<double>;

/// The part of the admissions that is left for returns; the rest is for new requests.
constexpr double returnShare = 0.25;
/// Bounds of the time between two returns.
constexpr std::chrono::milliseconds minInterval{20};
constexpr std::chrono::milliseconds maxInterval{500};
/// The time over which returns are spread.
constexpr std::chrono::milliseconds maxRound{2000};

} // namespace

void FadingCount::add(TimePoint now)
{
    m_value = value(now) + 1;
    m_addedAt = now;
}

double FadingCount::value(TimePoint now) const
{
    return m_value * std::exp2(-(Seconds(now - m_addedAt) / Seconds(halfLife)));
}

Duration ReturnSlots::assign(Duration earliest, Duration latest, TimePoint now)
{
    m_refused.add(now);
    const double admitted = m_admitted.value(now);
    if (m_refused.value(now) <= admitted || earliest >= latest) {
        return earliest;
    }
    const double admittedPerSecond =
        admitted * std::numbers::ln2 / Seconds(FadingCount::halfLife).count();
    const auto interval = std::chrono::duration_cast<Duration>(
        std::clamp(Seconds(1 / std::max(admittedPerSecond * returnShare, 0.001)),
                   Seconds(minInterval), Seconds(maxInterval)));
    // Slots beyond the latest return would be lost, so the next round begins at the earliest one.
    if (m_nextSlot > now + maxRound) {
        m_nextSlot = now;
    }
    const TimePoint slot = std::max(now + earliest, m_nextSlot);
    m_nextSlot = slot + interval;
    // A caller with less time than the others does not begin the next round for them.
    return std::min<Duration>(slot - now, latest);
}

} // namespace harelink
