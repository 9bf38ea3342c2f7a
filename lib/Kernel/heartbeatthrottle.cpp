//===- heartbeatthrottle.cpp - Load of relays -----------------------------===//

#include "harelink/Kernel/heartbeatthrottle.h"

#include <algorithm>

namespace harelink {

void HeartbeatThrottle::update(bool isOverloaded, TimePoint now)
{
    if (isOverloaded) {
        m_overloadedAt = now;
        const bool mayRise = m_changedAt == TimePoint::min() || now - m_changedAt >= riseInterval;
        if (mayRise && m_multiplier < maxMultiplier) {
            m_multiplier *= 2;
            m_changedAt = now;
        }
        return;
    }
    if (m_multiplier > 1 && now - std::max(m_overloadedAt, m_changedAt) >= calmPeriod) {
        m_multiplier /= 2;
        m_changedAt = now;
    }
}

} // namespace harelink
