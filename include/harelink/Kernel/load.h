//===- harelink/Kernel/load.h - Counters shared by workers ------*- C++ -*-===//
///
/// \file
/// The counters that all workers of a daemon share on a request's path. Each
/// is an atomic; none is behind a lock.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_LOAD_H
#define HARELINK_KERNEL_LOAD_H

#include "harelink/Support/clock.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace harelink {

/// How much of a pool's time one account has used lately.
///
/// A ring of short windows, so that old use is forgotten without a sweep.
class UsageMeter
{
public:
    /// The length of one window and the number kept.
    static constexpr std::chrono::milliseconds windowLength{250};
    static constexpr std::size_t windowCount = 8;

    /// Adds own use, which may be negative to correct an estimate.
    void add(TimePoint now, Duration cost);
    /// Adds use that a peer told of.
    void addOfPeer(TimePoint now, Duration cost);
    /// The own use since the last call, for telling peers.
    [[nodiscard]] Duration takeOwn();
    /// The sum over the last windowCount windows.
    [[nodiscard]] Duration recent(TimePoint now) const;

private:
    // Each slot packs the window's number and its microseconds.
    std::atomic<std::int64_t> m_untoldMicros{0};
    std::array<std::atomic<std::uint64_t>, windowCount> m_slots{};
};

/// What this daemon knows of one endpoint's load and health.
struct EndpointLoad
{
    std::atomic<int> inFlight{0};               ///< Own calls in progress.
    std::atomic<int> limit{0};                  ///< Own calls allowed at once; learnt.
    std::atomic<std::int64_t> latencyMicros{0}; ///< Smoothed time of a call.
    std::atomic<int> reportedActive{0};         ///< Last load report: calls in progress.
    std::atomic<int> failures{0};               ///< In a row.
    std::atomic<std::int64_t> ejectedUntil{0};  ///< Nanoseconds of the steady clock.
    std::atomic<std::int64_t> fullUntil{0};     ///< After a refusal; nanoseconds as above.
    std::atomic<bool> leaving{false};           ///< Never goes back to false.
};

/// What all workers know of one pool.
struct PoolLoad
{
    std::atomic<int> queued{0}; ///< Requests that wait for an endpoint.
};

} // namespace harelink

#endif // HARELINK_KERNEL_LOAD_H
