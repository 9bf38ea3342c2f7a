//===- retrybudget.cpp - Retry budget -------------------------------------===//

#include "harelink/Kernel/retrybudget.h"

#include <algorithm>
#include <numeric>

namespace harelink {
namespace {

/// The fraction of the limit that is used. The margin covers outdated daemon counts and calls
/// that arrive later than they were counted here.
constexpr double usableFraction = 0.75;
/// A budget with fewer retries left is nearly used up. A reply takes a network round trip, in
/// which a burst of broken calls needs several retries.
constexpr double minUnused = 4;
/// Interval between two requests for loans for one pool. With three peers each, a daemon sends at
/// most 15 requests per second for it.
constexpr std::chrono::milliseconds loanRequestInterval{200};
/// Sums of fractions of retries are compared with this tolerance.
constexpr double tolerance = 1e-9;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : m_options(options)
{
}

RetryBudget::Slot &RetryBudget::slotAt(TimePoint now)
{
    const Duration step = m_options.window / static_cast<int>(slotCount - 1);
    const std::int64_t number = now.time_since_epoch() / step;
    const std::int64_t passed =
        std::min<std::int64_t>(number - m_current, static_cast<std::int64_t>(slotCount));
    for (std::int64_t i = 1; i <= passed; ++i) {
        m_slots[static_cast<std::size_t>(number - passed + i) % slotCount] = {};
    }
    m_current = std::max(m_current, number);
    return m_slots[static_cast<std::size_t>(m_current) % slotCount];
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++slotAt(now).requests;
}

void RetryBudget::recordRetry(TimePoint now)
{
    ++slotAt(now).repeats;
}

void RetryBudget::recordRetry(TimePoint now, const RetryReservation &reservation)
{
    m_reserved -= reservation.own;
    slotAt(now).repeats += reservation.own;
}

/// Returns this daemon's usable share of the allowance. After a start, loans of the predecessor
/// may be in use for a term, and the retries paid with them count for a window more.
double RetryBudget::allowanceShare(TimePoint now, int daemons) const
{
    const bool hasAllowance = now >= m_options.startedAt + m_options.window + m_options.loanTerm;
    return hasAllowance ? m_options.allowance / std::max(1, daemons) * usableFraction : 0;
}

/// Returns what is left of this daemon's own limit; negative if the limit has fallen since.
double RetryBudget::ownUnused(TimePoint now, int daemons)
{
    (void)slotAt(now);
    double requests = 0;
    double repeats = m_reserved;
    for (const Slot &slot : m_slots) {
        requests += slot.requests;
        repeats += slot.repeats;
    }
    return m_options.ratio * requests * usableFraction + allowanceShare(now, daemons) - repeats
           - lent(now);
}

double RetryBudget::lent(TimePoint now)
{
    std::erase_if(m_lent, [now](const Part &part) { return now >= part.until; });
    return std::accumulate(m_lent.begin(), m_lent.end(), 0.0,
                           [](double sum, const Part &part) { return sum + part.retries; });
}

double RetryBudget::borrowed(TimePoint now)
{
    std::erase_if(m_borrowed, [now](const Part &part) { return now >= part.until; });
    return std::accumulate(m_borrowed.begin(), m_borrowed.end(), 0.0,
                           [](double sum, const Part &part) { return sum + part.retries; });
}

bool RetryBudget::allows(TimePoint now, int daemons)
{
    return std::max(ownUnused(now, daemons), 0.0) + borrowed(now) >= 1 - tolerance;
}

std::optional<RetryReservation> RetryBudget::reserve(TimePoint now, int daemons)
{
    if (!allows(now, daemons)) {
        return std::nullopt;
    }
    const RetryReservation reservation = takeBorrowed();
    m_reserved += reservation.own;
    return reservation;
}

/// Takes up to one retry from the loans, those that end first before the others.
RetryReservation RetryBudget::takeBorrowed()
{
    RetryReservation reservation;
    std::sort(m_borrowed.begin(), m_borrowed.end(),
              [](const Part &left, const Part &right) { return left.until < right.until; });
    for (Part &part : m_borrowed) {
        const double taken = std::min(part.retries, reservation.own);
        if (taken <= 0) {
            continue;
        }
        part.retries -= taken;
        reservation.own -= taken;
        reservation.borrowed += taken;
        reservation.until = std::min(reservation.until, part.until);
    }
    std::erase_if(m_borrowed, [](const Part &part) { return part.retries <= 0; });
    return reservation;
}

void RetryBudget::releaseReserved(const RetryReservation &reservation)
{
    m_reserved -= reservation.own;
    borrow(reservation.borrowed, reservation.until);
}

double RetryBudget::lendable(TimePoint now, int daemons)
{
    const double unlent = allowanceShare(now, daemons) - lent(now);
    const double unused = ownUnused(now, daemons);
    const bool needsLoans = m_loanRequestedAt && now - *m_loanRequestedAt < m_options.window;
    const double kept = needsLoans ? std::max(1.0, unlent - unused) : 0;
    return std::max(0.0, (std::min(unlent, unused) - kept) / 2);
}

void RetryBudget::lend(double retries, TimePoint now)
{
    m_lent.push_back({retries, now + m_options.loanTerm + m_options.window});
}

void RetryBudget::borrow(double retries, TimePoint until)
{
    if (retries > 0) {
        m_borrowed.push_back({retries, until});
    }
}

bool RetryBudget::claimLoanRequest(TimePoint now, int daemons)
{
    const bool hasRequested = m_loanRequestedAt && now - *m_loanRequestedAt < loanRequestInterval;
    const bool isDue = m_options.loanTerm > std::chrono::milliseconds::zero() && !hasRequested
                       && std::max(ownUnused(now, daemons), 0.0) + borrowed(now) < minUnused;
    if (isDue) {
        m_loanRequestedAt = now;
    }
    return isDue;
}

} // namespace harelink
