//===- fairqueue.cpp - Weighted fair queue --------------------------------===//

#include "harelink/Kernel/fairqueue.h"

#include <cassert>
#include <limits>

namespace harelink {
namespace {

/// The account's recent use of the pool, in seconds for a unit of weight.
double weightedUse(const Snapshot &snapshot, const std::string &account, const std::string &pool,
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

void FairQueue::push(const Waiter &place)
{
    const bool added = m_accounts[place.account].emplace(place.due, place.sequence).second;
    assert(added && "a request waits once");
    m_size += added ? 1 : 0;
}

void FairQueue::remove(const Waiter &place)
{
    const auto backlog = m_accounts.find(place.account);
    if (backlog == m_accounts.end()) {
        return;
    }
    m_size -= backlog->second.erase({place.due, place.sequence});
    if (backlog->second.empty()) {
        m_accounts.erase(backlog);
    }
}

std::optional<std::uint64_t> FairQueue::pop(const Snapshot &snapshot, const std::string &pool,
                                            const SlotShares &shares, TimePoint now)
{
    auto best = m_accounts.end();
    double bestUse = std::numeric_limits<double>::infinity();
    for (auto at = m_accounts.begin(); at != m_accounts.end(); ++at) {
        if (!shares.mayDispatch(snapshot, at->first)) {
            continue;
        }
        const double use = weightedUse(snapshot, at->first, pool, now);
        // Equal use goes by deadline, so that the choice never hangs on the hash order.
        if (best == m_accounts.end() || use < bestUse
            || (use == bestUse && *at->second.begin() < *best->second.begin())) {
            best = at;
            bestUse = use;
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
