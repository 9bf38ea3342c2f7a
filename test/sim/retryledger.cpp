//===- retryledger.cpp - Repeats over all hosts ---------------------------===//

#include "retryledger.h"

#include <algorithm>

namespace harelink::sim {
namespace {

/// Returns the number of \p times, which are sorted, in [begin, end].
std::size_t countWithin(const std::vector<TimePoint> &times, TimePoint begin, TimePoint end)
{
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<std::size_t>(std::upper_bound(first, times.end(), end) - first);
}

} // namespace

void RetryLedger::requestSent(const std::string &pool, TimePoint now)
{
    m_pools[pool].requests.push_back(now);
}

void RetryLedger::arrived(const std::string &pool, const RequestId &request, TimePoint now)
{
    Pool &entry = m_pools[pool];
    if (++entry.arrivals[request] > 1) {
        entry.repeats.push_back(now);
    }
}

std::optional<RetryUse> RetryLedger::worstWindow(const RetryBudgetOptions &budget) const
{
    std::optional<RetryUse> worst;
    for (const auto &[name, pool] : m_pools) {
        const auto consider = [&, &name = name, &pool = pool](TimePoint begin) {
            RetryUse window{name, begin, 0, 0, 0};
            window.repeats = countWithin(pool.repeats, begin, begin + budget.window);
            for (const Duration before :
                 {Duration::zero(), Duration(budget.window) / 2, Duration(budget.window)}) {
                window.requests =
                    std::max(window.requests, countWithin(pool.requests, begin - before,
                                                          begin - before + budget.window));
            }
            window.allowed = budget.ratio * static_cast<double>(window.requests) + budget.allowance;
            if (!worst || window.use() > worst->use()) {
                worst = std::move(window);
            }
        };
        for (const TimePoint repeat : pool.repeats) {
            consider(repeat);
            consider(repeat - budget.window);
        }
    }
    return worst;
}

} // namespace harelink::sim
