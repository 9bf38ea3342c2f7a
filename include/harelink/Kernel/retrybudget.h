//===- harelink/Kernel/retrybudget.h - Retry budget -------------*- C++ -*-===//
///
/// \file
/// Limits the retries to one pool over all daemons together. Daemons need not
/// communicate for it: each may retry a ratio of its own requests plus an equal share
/// of a constant allowance. A daemon that has started uses its share of the allowance only
/// when all retries of its predecessor on the same host have left the window, and no loan of
/// its predecessor counts any more.
///
/// A daemon may lend unused parts of its share to others (budgetloans.h). What it has lent counts
/// as used here until the last retry that was paid with it has left every window.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RETRYBUDGET_H
#define HARELINK_KERNEL_RETRYBUDGET_H

#include "harelink/Support/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace harelink {

/// Limits on the retries of all daemons together within any window of the given length.
struct RetryBudgetOptions
{
    double ratio = 0.1;     ///< Retries per request of the window.
    double allowance = 200; ///< Additional retries, shared by all daemons.
    std::chrono::milliseconds window{10'000};
    /// When this daemon started.
    TimePoint startedAt = TimePoint::min();
    /// The time for which a loan may be used, from its request on; zero if there are no loans.
    std::chrono::milliseconds loanTerm{0};
};

/// What is reserved for a retry that is sent later: together one retry.
struct RetryReservation
{
    double own = 1;
    double borrowed = 0;
    /// The retry must be sent before this time, at which the first of its loans ends.
    TimePoint until = TimePoint::max();
};

/// The retry budget of one daemon for one pool.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    /// Records a caller's request for the pool.
    void recordRequest(TimePoint now);
    /// Records a call beyond the first of its request, and pays for it with this daemon's own
    /// share.
    void recordRetry(TimePoint now);
    /// Records the call for which \p reservation was made. It must not have ended.
    void recordRetry(TimePoint now, const RetryReservation &reservation);
    /// Returns whether one more retry may be sent, besides those that are reserved.
    ///
    /// \param daemons number of daemons that share the allowance; at least 1.
    [[nodiscard]] bool allows(TimePoint now, int daemons);
    /// Reserves a retry that is sent later, if one more may be sent. Pays with loans first, since
    /// they end soon. Must be followed by recordRetry() with the reservation, or by
    /// releaseReserved().
    [[nodiscard]] std::optional<RetryReservation> reserve(TimePoint now, int daemons);
    /// Gives up a reservation.
    void releaseReserved(const RetryReservation &reservation = {});

    /// Returns how much may be lent now: half of what is unused of this daemon's share of the
    /// allowance; within a window of a request for loans, of what is left of it beyond one retry
    /// and the use of the last window. The ratio of its own requests is never lent.
    [[nodiscard]] double lendable(TimePoint now, int daemons);
    /// Withholds \p retries that are being lent, until no window can contain both a retry that
    /// was paid with them and one that is sent here afterwards.
    void lend(double retries, TimePoint now);
    /// Adds \p retries that another daemon has lent, and that may be used before \p until.
    void borrow(double retries, TimePoint until);
    /// Returns whether the budget is nearly used up and a loan shall be requested now; records
    /// that, if so.
    [[nodiscard]] bool claimLoanRequest(TimePoint now, int daemons);

private:
    /// The window slides in steps of one slot. One extra slot is kept, so that no window of the
    /// configured length contains more retries than were counted.
    static constexpr std::size_t slotCount = 21;
    struct Slot
    {
        std::uint32_t requests = 0;
        double repeats = 0;
    };
    /// An amount of retries that was lent or borrowed.
    struct Part
    {
        double retries = 0;
        TimePoint until;
    };

    Slot &slotAt(TimePoint now);
    [[nodiscard]] double allowanceShare(TimePoint now, int daemons) const;
    [[nodiscard]] double ownUnused(TimePoint now, int daemons);
    [[nodiscard]] double lent(TimePoint now);
    [[nodiscard]] double borrowed(TimePoint now);
    [[nodiscard]] RetryReservation takeBorrowed();

    RetryBudgetOptions m_options;
    std::int64_t m_current = 0; ///< Number of the newest slot.
    double m_reserved = 0;      ///< Of this daemon's own share.
    std::array<Slot, slotCount> m_slots{};
    std::vector<Part> m_lent;
    std::vector<Part> m_borrowed;
    std::optional<TimePoint> m_loanRequestedAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_RETRYBUDGET_H
