//===- fairqueue.cpp - Weighted fair queue --------------------------------===//

#include "harelink/Kernel/fairqueue.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace harelink {
namespace {

/// The weight of an account that was deleted while its requests wait.
constexpr double weightOfDeleted = 1;

double weightOf(const Snapshot &snapshot, const std::string &account)
{
    const AccountEntry *entry = snapshot.account(account);
    return entry == nullptr ? weightOfDeleted : entry->spec.weight;
}

/// The account's recent use of the pool, in seconds for a unit of weight.
double weightedUse(const Snapshot &snapshot, const std::string &account, const std::string &pool,
                   TimePoint now)
{
    const AccountEntry *entry = snapshot.account(account);
    if (entry == nullptr) {
        return 0;
    }
    const auto meter = entry->usage.find(pool);
    if (meter == entry->usage.end()) {
        return 0;
    }
    const Duration recent = meter->second->recent(now);
    return std::chrono::duration<double>(recent).count() / entry->spec.weight;
}

} // namespace

void FairQueue::push(const Place &place)
{
    const bool added = m_accounts[place.account].emplace(place.due, place.sequence).second;
    assert(added && "a request waits once");
    m_size += added ? 1 : 0;
}

void FairQueue::remove(const Place &place)
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
                                            TimePoint now)
{
    auto best = m_accounts.end();
    double bestUse = std::numeric_limits<double>::infinity();
    for (auto at = m_accounts.begin(); at != m_accounts.end(); ++at) {
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

double FairQueue::ahead(const Snapshot &snapshot, const std::string &account) const
{
    const auto own = m_accounts.find(account);
    const double ownLength = own == m_accounts.end() ? 0 : static_cast<double>(own->second.size());
    double otherWeights = 0;
    for (const auto &[name, backlog] : m_accounts) {
        if (name != account) {
            otherWeights += weightOf(snapshot, name);
        }
    }
    const double shareOfOthers = otherWeights / weightOf(snapshot, account);
    return std::min(static_cast<double>(m_size), (ownLength + 1) * (1 + shareOfOthers) - 1);
}

} // namespace harelink
