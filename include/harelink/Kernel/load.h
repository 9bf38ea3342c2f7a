//===- harelink/Kernel/load.h - Counters shared by workers ------*- C++ -*-===//
///
/// \file
/// The counters that all workers of a daemon share on a request's path. Each
/// is an atomic; none is behind a lock.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_LOAD_H
#define HARELINK_KERNEL_LOAD_H

#include "harelink/Kernel/pieces.h"
#include "harelink/Support/clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

namespace harelink {

/// \p time as the loads hold it: nanoseconds of the steady clock.
[[nodiscard]] inline std::int64_t steadyNanos(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

/// The time that the loads hold as \p nanos.
[[nodiscard]] inline TimePoint fromSteadyNanos(std::int64_t nanos)
{
    return TimePoint(std::chrono::nanoseconds(nanos));
}

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
    void addFromPeer(TimePoint now, Duration cost);
    /// The own use since the last call, for telling peers.
    [[nodiscard]] Duration drainOwnUsage();
    /// The sum over the last windowCount windows.
    [[nodiscard]] Duration recent(TimePoint now) const;

private:
    // Each slot packs the window's number and its microseconds.
    std::atomic<std::int64_t> m_unreportedMicros{0};
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
    std::atomic<std::int64_t> progressAt{0};    ///< Last answer, or first send of those open.
    std::atomic<bool> leaving{false};           ///< Never goes back to false.
    std::atomic<std::int64_t> coldUntil{0};     ///< Nanoseconds of the steady clock.
    std::atomic<std::int64_t> coldInterval{0};  ///< Between own sends while cold; 0 for none.
    std::atomic<std::int64_t> warmUntil{0};     ///< It said so itself; nanoseconds as above.
    std::atomic<std::int64_t> checkedUntil{0};  ///< A status check is under way, or has failed.
    std::atomic<std::int64_t> sentAt{0};        ///< Last own send; nanoseconds as above.
    std::atomic<std::int64_t> pausedUntil{0};   ///< At its request; nanoseconds as above.
    std::atomic<bool> isLimited{false};         ///< It last stated a rate limit.
    std::atomic<std::int64_t> sendInterval{0};  ///< Between own sends; 0 without a limit.
    std::atomic<std::int64_t> nextSendAt{0};    ///< With a limit; nanoseconds as above.
    /// With a limit: nanoseconds after which a turn that was not used is lost; 0 for never.
    std::atomic<std::int64_t> slotLength{0};

    /// Of model engines: tokens of prompts that were sent and of which no answer came yet.
    std::atomic<std::int64_t> prefillBacklog{0};     ///< Sent by this daemon.
    std::atomic<std::int64_t> peerPrefillBacklog{0}; ///< As the peers last told.
};

/// What this daemon knows of its own state.
struct DaemonLoad
{
    /// Until when it receives changes of endpoints, from the platform or from a peer that
    /// does; nanoseconds of the steady clock.
    std::atomic<std::int64_t> endpointUpdatesUntil{std::numeric_limits<std::int64_t>::max()};
};

/// How busy the endpoints of a pool that works in pieces are, as its batcher last told.
struct PieceLoad
{
    std::atomic<std::int64_t> freeAt{0}; ///< When the first can take a call; steady nanoseconds.
    std::atomic<int> endpoints{0};       ///< That take calls; 0 where nothing is known.
    /// Pieces in no call yet, own orders since included; by class of urgency.
    std::array<std::atomic<int>, priorityClassCount> waiting{};
    std::atomic<int> slownessPercent{100};   ///< The time of calls against the declared one.
    std::atomic<int> correctionPercent{100}; ///< The time until pieces are made, against the
                                             ///< forecast without this.
};

/// What one client account has of one pool and wants of it.
struct AccountLoad
{
    UsageMeter usageMeter;
    std::atomic<int> demand{0};     ///< Own calls, in flight and waiting.
    std::atomic<int> inFlight{0};   ///< Own calls in flight.
    std::atomic<int> peerDemand{0}; ///< As the peers last told.
};

/// Counts one in a counter for as long as it lives.
class ScopedCount
{
public:
    ScopedCount() = default;
    /// \param count may be null: then nothing is counted.
    explicit ScopedCount(std::shared_ptr<std::atomic<int>> count)
        : m_count(std::move(count))
    {
        if (m_count != nullptr) {
            m_count->fetch_add(1, std::memory_order_relaxed);
        }
    }
    ~ScopedCount()
    {
        if (m_count != nullptr) {
            m_count->fetch_sub(1, std::memory_order_relaxed);
        }
    }
    ScopedCount(ScopedCount &&other) noexcept = default;
    ScopedCount &operator=(ScopedCount &&other) noexcept
    {
        ScopedCount taken(std::move(other));
        std::swap(m_count, taken.m_count);
        return *this;
    }

private:
    std::shared_ptr<std::atomic<int>> m_count;
};

} // namespace harelink

#endif // HARELINK_KERNEL_LOAD_H
