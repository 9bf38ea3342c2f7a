//===- poolpath.cpp - Network path to a pool ------------------------------===//

#include "harelink/Kernel/poolpath.h"

#include "harelink/Kernel/load.h"

#include <algorithm>

namespace harelink {
namespace {

/// Failures after which the path is lost. Two endpoints that crash together are not enough.
constexpr std::size_t failuresToLose = 3;

} // namespace

void PoolPath::recordReached()
{
    m_failures.store(0, std::memory_order_relaxed);
    m_lastFailed.store(0, std::memory_order_relaxed);
    m_isLost.store(false, std::memory_order_relaxed);
}

bool PoolPath::recordUnreachable(std::uint64_t endpoint, std::size_t endpoints)
{
    if (m_lastFailed.exchange(endpoint, std::memory_order_relaxed) == endpoint) {
        return false;
    }
    const std::size_t failures = m_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < std::min(failuresToLose, std::max<std::size_t>(1, endpoints))) {
        return false;
    }
    return !m_isLost.exchange(true, std::memory_order_relaxed) && isLost();
}

bool PoolPath::claimProbe(TimePoint now)
{
    std::int64_t due = m_nextProbe.load(std::memory_order_relaxed);
    return isLost() && steadyNanos(now) >= due
           && m_nextProbe.compare_exchange_strong(due, steadyNanos(now + probeInterval),
                                                  std::memory_order_relaxed);
}

} // namespace harelink
