//===- harelink/Kernel/load.h - Load counters shared by workers -*- C++ -*-===//
///
/// \file
/// Counters on the request path that all workers of a daemon share. Each is an
/// atomic; none is guarded by a lock.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_LOAD_H
#define HARELINK_KERNEL_LOAD_H

#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/reportedload.h"
#include "harelink/Support/clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

namespace harelink {

/// Converts \p time to nanoseconds of the steady clock, the format of the load counters.
[[nodiscard]] inline std::int64_t steadyNanos(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

/// Converts \p nanos, in the format of the load counters, to a time.
[[nodiscard]] inline TimePoint fromSteadyNanos(std::int64_t nanos)
{
    return TimePoint(std::chrono::nanoseconds(nanos));
}

/// Measures how much of a pool's time one account used recently.
///
/// A ring of short windows, so that old usage expires without a sweep.
class UsageMeter
{
public:
    /// The length of one window and the number kept.
    static constexpr std::chrono::milliseconds windowLength{250};
    static constexpr std::size_t windowCount = 8;

    /// Adds usage by this daemon; \p cost may be negative to correct an estimate.
    void add(TimePoint now, Duration cost);
    /// Adds usage that a peer reported.
    void addFromPeer(TimePoint now, Duration cost);
    /// Returns the usage by this daemon since the last call, to be reported to peers.
    [[nodiscard]] Duration drainOwnUsage();
    /// Returns the usage in the last windowCount windows.
    [[nodiscard]] Duration recent(TimePoint now) const;

private:
    std::atomic<std::int64_t> m_unreportedMicros{0};
    // Each slot packs the number of a window and its microseconds.
    std::array<std::atomic<std::uint64_t>, windowCount> m_slots{};
};

/// The number of load classes of a model engine: the quarters of its slots.
inline constexpr std::size_t loadClassCount = 4;

/// Load and health of one endpoint, as known to this daemon.
struct EndpointLoad
{
    std::atomic<int> inFlight{0};               ///< Calls of this daemon in flight.
    std::atomic<int> concurrencyLimit{0};       ///< Adaptive; of calls of this daemon.
    std::atomic<std::int64_t> latencyMicros{0}; ///< Smoothed latency of a call.
    std::atomic<std::int64_t> ejectedUntil{0};  ///< Nanoseconds of the steady clock.
    std::atomic<std::int64_t> doubtedUntil{0};  ///< See recordDoubt(); nanoseconds as above.
    std::atomic<std::int64_t> fullUntil{0};     ///< Set after a refusal; nanoseconds as above.
    std::atomic<std::int64_t> progressAt{0};    ///< Last answer, or first send after idle.
    std::atomic<std::int64_t> coldUntil{0};     ///< Nanoseconds of the steady clock.
    std::atomic<std::int64_t> coldInterval{0};  ///< Between own sends while cold; 0: no sends.
    std::atomic<std::int64_t> warmUntil{0};     ///< Self-reported; nanoseconds as above.
    std::atomic<std::int64_t> checkedUntil{0};  ///< While a status check runs, or after it failed.
    std::atomic<std::int64_t> sentAt{0};        ///< Last own send; nanoseconds as above.
    std::atomic<std::int64_t> pausedUntil{0};   ///< Requested by it; nanoseconds as above.
    std::atomic<std::int64_t> sendInterval{0};  ///< Between own sends; 0 if there is no limit.
    std::atomic<std::int64_t> nextSendAt{0}; ///< Next send slot if limited; nanoseconds as above.
    /// If limited: nanoseconds after which an unused send slot expires; 0 if it never does.
    std::atomic<std::int64_t> slotLength{0};

    /// If it states how many rejections it bears: for how long a rejection keeps this daemon away,
    /// in nanoseconds, and below how many calls of this daemon it may have in flight; else 0.
    std::atomic<std::int64_t> rejectionPause{0};

    ReportedLoad report; ///< The load that it last reported of itself.

    /// Of model engines: uncached tokens of prompts that were sent and not answered yet.
    std::atomic<std::int64_t> prefillBacklog{0};     ///< Of prompts sent by this daemon.
    std::atomic<std::int64_t> peerPrefillBacklog{0}; ///< As last reported by peers.

    // Small members are together: a fleet has thousands of endpoints.
    std::atomic<int> failures{0};     ///< Consecutive failures.
    std::atomic<int> brittleSlots{0}; ///< See rejectionPause.
    std::atomic<int> peerCalls{0};    ///< Calls of peers in flight at a model engine, as reported.
    /// Of model engines, as learned: by load class, how long work takes relative to the pool's
    /// average, in percent; the highest load class worth using; whether it is considered slow.
    /// See endpointpace.h.
    std::array<std::atomic<std::int16_t>, loadClassCount> pacePercent{100, 100, 100, 100};
    std::atomic<std::int8_t> knee{static_cast<std::int8_t>(loadClassCount) - 1};
    std::atomic<bool> isSlow{false};
    std::atomic<bool> leaving{false};   ///< Never reset to false.
    std::atomic<bool> isLimited{false}; ///< Whether it has announced a rate limit.
};

/// State of this daemon.
struct DaemonLoad
{
    /// Until when it receives updates of endpoints, from the platform or from a peer that
    /// does; nanoseconds of the steady clock.
    std::atomic<std::int64_t> endpointUpdatesUntil{std::numeric_limits<std::int64_t>::max()};
};

/// The number of pools, or partitions of pools, whose upcoming pieces one pool counts. A pool that
/// is divided by data centre has one source for each part of an earlier stage.
inline constexpr std::size_t maxUpcomingSources = 32;

/// Pieces that requests which are now at one other pool will order, as last reported.
struct UpcomingLoad
{
    std::atomic<std::uint64_t> source{0};    ///< Hash of the name of that pool; 0 if unused.
    std::atomic<std::int64_t> reportedAt{0}; ///< Steady nanoseconds.
    std::array<std::atomic<int>, priorityClassCount> pieces{};
    std::array<std::atomic<std::int64_t>, priorityClassCount> resultBytes{};
};

/// Load of a pool that works in pieces, as last reported by its batcher.
struct PieceLoad
{
    std::atomic<std::int64_t> reportedAt{0}; ///< Steady nanoseconds.
    std::atomic<std::int64_t> freeAt{0}; ///< First time an endpoint is free; steady nanoseconds.
    std::atomic<int> endpoints{0};       ///< That accept calls; 0 if unknown.
    /// Pieces not in a call yet, including those ordered since the report; by priority class.
    std::array<std::atomic<int>, priorityClassCount> waiting{};
    std::atomic<std::int64_t> bufferedBytes{0}; ///< See PieceBacklog.
    std::array<std::atomic<std::int64_t>, priorityClassCount> waitingBytes{};
    std::atomic<std::int64_t> holdNanos{0};
    /// By the pool, or partition of one, whose requests will order pieces here. Written by the
    /// control thread only. Further sources are not counted.
    std::array<UpcomingLoad, maxUpcomingSources> upcoming{};
    std::atomic<int> slownessPercent{100};   ///< Measured call time relative to the declared one.
    std::atomic<int> correctionPercent{100}; ///< Measured time until completion of a piece relative
                                             ///< to the uncorrected forecast.
};

/// Usage of one pool and demand for it by one client account.
struct AccountLoad
{
    UsageMeter usageMeter;
    std::atomic<int> demand{0};     ///< Calls of this daemon, in flight and waiting.
    std::atomic<int> inFlight{0};   ///< Calls of this daemon in flight.
    std::atomic<int> peerDemand{0}; ///< As last reported by peers.
};

/// Increments a counter for its lifetime.
class ScopedCount
{
public:
    ScopedCount() = default;
    /// \param count The counter; may be null.
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
        ScopedCount moved(std::move(other));
        std::swap(m_count, moved.m_count);
        return *this;
    }

private:
    std::shared_ptr<std::atomic<int>> m_count;
};

} // namespace harelink

#endif // HARELINK_KERNEL_LOAD_H
