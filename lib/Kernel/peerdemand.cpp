//===- peerdemand.cpp - Demand at the peers -------------------------------===//

#include "harelink/Kernel/peerdemand.h"

namespace harelink {
namespace {

/// Every fourth summary, one per second, contains usage; one of them may be lost.
constexpr std::chrono::milliseconds summaryTtl{2500};

} // namespace

auto PeerDemand::callsOf(const std::vector<UsageReport> &reports) -> PeerTotals<Key>::Values
{
    PeerTotals<Key>::Values calls;
    for (const UsageReport &report : reports) {
        calls[{report.account, report.pool}] += report.demand;
    }
    return calls;
}

void PeerDemand::update(const std::string &host, const std::vector<UsageReport> &reports)
{
    m_totals.update(host, callsOf(reports));
}

void PeerDemand::updateFromSummary(const std::string &host, const std::vector<UsageReport> &reports)
{
    m_totals.update(host, callsOf(reports), summaryTtl);
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
