//===- harelink/Kernel/heartbeatthrottle.h - Load of relays -----*- C++ -*-===//
///
/// \file
/// Decides by how much a relay asks the hosts of its data centre to stretch the interval of their
/// heartbeats. The number of hosts alone does not say what a relay bears: it may be small, slow, or
/// busy with requests.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_HEARTBEATTHROTTLE_H
#define HARELINK_KERNEL_HEARTBEATTHROTTLE_H

#include "harelink/Support/clock.h"

#include <chrono>
#include <cstdint>

namespace harelink {

/// The request of one relay.
class HeartbeatThrottle
{
public:
    static constexpr std::uint32_t maxMultiplier = 4;
    /// The multiplier rises at most once in this time, in which hosts follow the last change.
    static constexpr std::chrono::milliseconds riseInterval{1500};
    /// The multiplier falls when the relay was not overloaded for this time.
    static constexpr std::chrono::seconds calmPeriod{30};

    /// Records whether the relay is overloaded. Must be called with each heartbeat.
    void update(bool isOverloaded, TimePoint now);
    /// Returns the factor of the interval: a power of two up to maxMultiplier.
    [[nodiscard]] std::uint32_t multiplier() const { return m_multiplier; }

private:
    std::uint32_t m_multiplier = 1;
    TimePoint m_changedAt = TimePoint::min();
    TimePoint m_overloadedAt = TimePoint::min(); ///< Last time.
};

} // namespace harelink

#endif // HARELINK_KERNEL_HEARTBEATTHROTTLE_H
