//===- pooldemand.cpp - Pending demand for a pool -------------------------===//

#include "harelink/Kernel/pooldemand.h"

#include <algorithm>
#include <cassert>

namespace harelink {
namespace {

/// Weight of an account that was deleted while its requests are in progress.
constexpr double deletedAccountWeight = 1;

double weightOf(const Snapshot &snapshot, const std::string &account)
{
    const AccountEntry *entry = snapshot.account(account);
    return entry == nullptr ? deletedAccountWeight : entry->spec.weight;
}

} // namespace

void PoolDemand::add(const std::string &account)
{
    ++m_accounts[account];
    ++m_size;
}

void PoolDemand::remove(const std::string &account)
{
    const auto found = m_accounts.find(account);
    assert(found != m_accounts.end() && "request was not added");
    --m_size;
    if (--found->second == 0) {
        m_accounts.erase(found);
    }
}

double PoolDemand::requestsAhead(const Snapshot &snapshot, const std::string &account) const
{
    const auto own = m_accounts.find(account);
    const double ownCount = own == m_accounts.end() ? 0 : static_cast<double>(own->second);
    double otherWeights = 0;
    for (const auto &[name, count] : m_accounts) {
        if (name != account) {
            otherWeights += weightOf(snapshot, name);
        }
    }
    const double shareOfOthers = otherWeights / weightOf(snapshot, account);
    return std::min(static_cast<double>(m_size), (ownCount + 1) * (1 + shareOfOthers) - 1);
}

} // namespace harelink
