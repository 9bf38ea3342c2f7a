//===- harelink/Kernel/poolpath.h - Network path to a pool ------*- C++ -*-===//
///
/// \file
/// Tracks whether this daemon can connect to the endpoints of a pool. If several endpoints in a
/// row cannot be connected to, the daemon's own path is taken to be lost, rather than the
/// endpoints: its calls then go through peers, and no endpoint is blamed.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_POOLPATH_H
#define HARELINK_KERNEL_POOLPATH_H

#include "harelink/Support/clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace harelink {

/// The path to one pool. Shared by the workers and the control thread.
class PoolPath
{
public:
    /// Interval between the connections by which a lost path is probed.
    static constexpr std::chrono::milliseconds probeInterval{500};

    /// Records that an endpoint of the pool was connected to.
    void recordReached();
    /// Records that the endpoint with the hash \p endpoint could not be connected to. Returns true
    /// if the path is lost since.
    ///
    /// \param endpoints number of endpoints in the pool.
    bool recordUnreachable(std::uint64_t endpoint, std::size_t endpoints);
    /// Sets whether a peer may make calls for this daemon. If none may, the path never counts as
    /// lost.
    void setHasRelay(bool hasRelay) { m_hasRelay.store(hasRelay, std::memory_order_relaxed); }
    [[nodiscard]] bool hasRelay() const { return m_hasRelay.load(std::memory_order_relaxed); }
    /// Returns whether the path is lost.
    [[nodiscard]] bool isLost() const
    {
        return m_isLost.load(std::memory_order_relaxed)
               && m_hasRelay.load(std::memory_order_relaxed);
    }
    /// Returns whether the path is lost and shall be probed now; the next probe is then due after
    /// probeInterval.
    [[nodiscard]] bool claimProbe(TimePoint now);

private:
    std::atomic<bool> m_isLost{false};
    std::atomic<bool> m_hasRelay{false};
    /// Consecutive failures; those of the same endpoint in a row count once.
    std::atomic<std::size_t> m_failures{0};
    std::atomic<std::uint64_t> m_lastFailed{0}; ///< Hash of the endpoint.
    std::atomic<std::int64_t> m_nextProbe{0};   ///< Nanoseconds of the steady clock.
};

} // namespace harelink

#endif // HARELINK_KERNEL_POOLPATH_H
