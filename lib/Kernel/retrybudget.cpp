//===- retrybudget.cpp - Retry budget -------------------------------------===//

#include "harelink/Kernel/retrybudget.h"

#include <algorithm>

namespace harelink {
namespace {

/// The fraction of the limit that is used. The margin covers outdated daemon counts and calls
/// that arrive later than they were counted here.
constexpr double usableFraction = 0.75;

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

bool RetryBudget::allows(TimePoint now, int daemons)
{
    (void)slotAt(now);
    double requests = 0;
    double repeats = m_reserved;
    for (const Slot &slot : m_slots) {
        requests += slot.requests;
        repeats += slot.repeats;
    }
    const bool hasAllowance = now >= m_options.startedAt + m_options.window;
    const double allowance = hasAllowance ? m_options.allowance / std::max(1, daemons) : 0;
    return repeats + 1 <= (m_options.ratio * requests + allowance) * usableFraction;
}

bool RetryBudget::reserve(TimePoint now, int daemons)
{
    const bool isAllowed = allows(now, daemons);
    m_reserved += isAllowed ? 1 : 0;
    return isAllowed;
}

} // namespace harelink
