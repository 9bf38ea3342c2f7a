//===- peerdemand.cpp - What waits at the peers ---------------------------===//

#include "harelink/Kernel/peerdemand.h"

namespace harelink {
namespace {

/// What a daemon told counts this long.
constexpr std::chrono::milliseconds tellingLife{1000};
constexpr std::chrono::milliseconds lookInterval{50};

} // namespace

void PeerDemand::take(const std::string &host, const std::vector<UsageReport> &reports)
{
    Told &told = m_hosts[host];
    told.at = m_clock.now();
    told.calls.clear();
    for (const UsageReport &report : reports) {
        if (report.demand > 0) {
            told.calls[{report.account, report.pool}] += report.demand;
        }
    }
}

std::vector<DemandTotal> PeerDemand::changes()
{
    std::vector<DemandTotal> changed;
    const TimePoint now = m_clock.now();
    if (now < m_nextLook) {
        return changed;
    }
    m_nextLook = now + lookInterval;
    std::erase_if(m_hosts,
                  [now](const auto &entry) { return now - entry.second.at > tellingLife; });
    std::map<Key, int> totals;
    for (const auto &[host, told] : m_hosts) {
        for (const auto &[key, calls] : told.calls) {
            totals[key] += calls;
        }
    }
    for (const auto &[key, calls] : m_totals) {
        if (!totals.contains(key)) {
            changed.push_back({key.first, key.second, 0});
        }
    }
    for (const auto &[key, calls] : totals) {
        const auto before = m_totals.find(key);
        if (before == m_totals.end() || before->second != calls) {
            changed.push_back({key.first, key.second, calls});
        }
    }
    m_totals = std::move(totals);
    return changed;
}

} // namespace harelink
