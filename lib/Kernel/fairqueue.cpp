//===- fairqueue.cpp - Weighted fair queue --------------------------------===//

#include "harelink/Kernel/fairqueue.h"

#include <cassert>
#include <limits>

namespace harelink {
namespace {

/// Returns the account's recent usage of the pool, in seconds per unit of weight.
double weightedUsage(const Snapshot &snapshot, const std::string &account, const std::string &pool,
                     TimePoint now)
{
    const AccountEntry *entry = snapshot.account(account);
    if (entry == nullptr) {
        return 0;
    }
    const auto load = entry->loads.find(pool);
    if (load == entry->loads.end()) {
        return 0;
    }
    const Duration recent = load->second->usageMeter.recent(now);
    return std::chrono::duration<double>(recent).count() / entry->spec.weight;
}

} // namespace

void FairQueue::push(const Waiter &waiter)
{
    const bool added = m_accounts[waiter.account].emplace(waiter.due, waiter.sequence).second;
    assert(added && "request is already queued");
    m_size += added ? 1 : 0;
}

void FairQueue::remove(const Waiter &waiter)
{
    const auto backlog = m_accounts.find(waiter.account);
    if (backlog == m_accounts.end()) {
        return;
    }
    m_size -= backlog->second.erase({waiter.due, waiter.sequence});
    if (backlog->second.empty()) {
        m_accounts.erase(backlog);
    }
}

std::optional<std::uint64_t> FairQueue::pop(const Snapshot &snapshot, const std::string &pool,
                                            const SlotShares &shares, TimePoint now)
{
    auto best = m_accounts.end();
    double bestUsage = std::numeric_limits<double>::infinity();
    for (auto at = m_accounts.begin(); at != m_accounts.end(); ++at) {
        if (!shares.mayDispatch(snapshot, at->first)) {
            continue;
        }
        const double usage = weightedUsage(snapshot, at->first, pool, now);
        // Ties are broken by deadline, so that the result does not depend on the order of accounts.
        if (best == m_accounts.end() || usage < bestUsage
            || (usage == bestUsage && *at->second.begin() < *best->second.begin())) {
            best = at;
            bestUsage = usage;
        }
    }
    if (best == m_accounts.end()) {
        return std::nullopt;
    }
    const std::uint64_t sequence = best->second.begin()->second;
    best->second.erase(best->second.begin());
    --m_size;
    if (best->second.empty()) {
        m_accounts.erase(best);
    }
    return sequence;
}

} // namespace harelink
