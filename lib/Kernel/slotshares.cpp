//===- slotshares.cpp - Slot shares of accounts ---------------------------===//

#include "harelink/Kernel/slotshares.h"

#include "harelink/Kernel/routing.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace harelink {
namespace {

/// Minimum time between two computations of the shares.
constexpr std::chrono::milliseconds updateInterval{10};
/// Calls in flight per slot, so that an endpoint has its next call queued. Under overload, values
/// below 1.4 leave engines idle between calls (82% utilization at 1.1, 90% from 1.4); 1.7 takes
/// more from the other accounts.
constexpr double callsPerSlot = 1.5;

struct Demand
{
    double calls = 0;
    double weight = 1;
    [[nodiscard]] double perWeight() const { return calls / weight; }
};

const AccountLoad *loadOf(const AccountEntry &account, const std::string &pool)
{
    const auto found = account.loads.find(pool);
    return found == account.loads.end() ? nullptr : found->second.get();
}

double demandOf(const AccountLoad &load)
{
    const int own = load.demand.load(std::memory_order_relaxed);
    return own + load.peerDemand.load(std::memory_order_relaxed);
}

std::vector<Demand> demandsOf(const Snapshot &snapshot, const std::string &pool)
{
    std::vector<Demand> demands;
    for (const auto &[name, account] : snapshot.accounts) {
        const AccountLoad *load = loadOf(account, pool);
        const double calls = load == nullptr ? 0 : demandOf(*load);
        if (calls > 0) {
            demands.push_back({calls, account.spec.weight});
        }
    }
    return demands;
}

int countUsableSlots(const PoolEntry &pool, TimePoint now)
{
    int slots = 0;
    for (const EndpointEntry &endpoint : pool.endpoints) {
        const bool isServing = isUsable(endpoint, now) && !isOnProbation(endpoint);
        slots += isServing ? endpoint.spec->slots : 0;
    }
    return slots;
}

} // namespace

void SlotShares::update(const Snapshot &snapshot, const PoolEntry &pool, TimePoint now)
{
    if (m_updatedAt != TimePoint::min() && now - m_updatedAt < updateInterval) {
        return;
    }
    m_updatedAt = now;
    m_pool = pool.spec.name;
    m_isLimiting = false;
    std::vector<Demand> demands = demandsOf(snapshot, m_pool);
    std::sort(demands.begin(), demands.end(), [](const Demand &a, const Demand &b) {
        return std::pair(a.perWeight(), a.weight) < std::pair(b.perWeight(), b.weight);
    });
    m_usableSlots = countUsableSlots(pool, now);
    double slotsLeft = m_usableSlots * callsPerSlot;
    double weightsLeft = 0;
    for (const Demand &demand : demands) {
        weightsLeft += demand.weight;
    }
    // Accounts with the least demand for their weight come first and get all that they need.
    for (const Demand &demand : demands) {
        m_slotsPerWeight = slotsLeft / weightsLeft;
        if (demand.perWeight() > m_slotsPerWeight) {
            m_isLimiting = true;
            return;
        }
        slotsLeft -= demand.calls;
        weightsLeft -= demand.weight;
    }
}

bool SlotShares::mayDispatch(const Snapshot &snapshot, const std::string &account) const
{
    const AccountEntry *entry = m_isLimiting ? snapshot.account(account) : nullptr;
    const AccountLoad *load = entry == nullptr ? nullptr : loadOf(*entry, m_pool);
    if (load == nullptr) {
        return true;
    }
    const double all = demandOf(*load);
    const double share = m_slotsPerWeight * entry->spec.weight;
    if (all <= share) {
        return true;
    }
    const double own = load->demand.load(std::memory_order_relaxed);
    const double allowed = std::max(1.0, std::ceil(share * own / all));
    return load->inFlight.load(std::memory_order_relaxed) < allowed;
}

} // namespace harelink
