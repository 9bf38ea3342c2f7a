//===- harelink/Kernel/retrybudget.h - Retry budget -------------*- C++ -*-===//
///
/// \file
/// Limits the retries to one pool over all daemons together. Daemons need not
/// communicate for it: each may retry a ratio of its own requests plus an equal share
/// of a constant allowance. A daemon that has started uses its share of the allowance only
/// when all retries of its predecessor on the same host have left the window.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RETRYBUDGET_H
#define HARELINK_KERNEL_RETRYBUDGET_H

#include "harelink/Support/clock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace harelink {

/// Limits on the retries of all daemons together within any window of the given length.
struct RetryBudgetOptions
{
    double ratio = 0.1;     ///< Retries per request of the window.
    double allowance = 200; ///< Additional retries, shared by all daemons.
    std::chrono::milliseconds window{10'000};
    /// When this daemon started.
    TimePoint startedAt = TimePoint::min();
};

/// The retry budget of one daemon for one pool.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    /// Records a caller's request for the pool.
    void recordRequest(TimePoint now);
    /// Records a call beyond the first of its request.
    void recordRetry(TimePoint now);
    /// Returns whether one more retry may be sent, besides those that are reserved.
    ///
    /// \param daemons number of daemons that share the allowance; at least 1.
    [[nodiscard]] bool allows(TimePoint now, int daemons);
    /// Reserves a retry that is sent later, if one more may be sent. Must be followed by
    /// releaseReserved(), also before recordRetry().
    [[nodiscard]] bool reserve(TimePoint now, int daemons);
    void releaseReserved() { --m_reserved; }

private:
    /// The window slides in steps of one slot. One extra slot is kept, so that no window of the
    /// configured length contains more retries than were counted.
    static constexpr std::size_t slotCount = 21;
    struct Slot
    {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Slot &slotAt(TimePoint now);

    RetryBudgetOptions m_options;
    std::int64_t m_current = 0; ///< Number of the newest slot.
    std::uint32_t m_reserved = 0;
    std::array<Slot, slotCount> m_slots{};
};

} // namespace harelink

#endif // HARELINK_KERNEL_RETRYBUDGET_H
