//===- peerdemand.cpp - What waits at the peers ---------------------------===//

#include "harelink/Kernel/peerdemand.h"

namespace harelink {

void PeerDemand::take(const std::string &host, const std::vector<UsageReport> &reports)
{
    PeerTotals<Key>::Figures calls;
    for (const UsageReport &report : reports) {
        calls[{report.account, report.pool}] += report.demand;
    }
    m_totals.take(host, std::move(calls));
}

std::vector<DemandTotal> PeerDemand::changes()
{
    std::vector<DemandTotal> changed;
    for (const auto &[key, calls] : m_totals.changes()) {
        changed.push_back({key.first, key.second, static_cast<int>(calls)});
    }
    return changed;
}

} // namespace harelink
