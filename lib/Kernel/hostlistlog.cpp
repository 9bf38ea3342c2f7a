//===- hostlistlog.cpp - Changes of a host list ---------------------------===//

#include "harelink/Kernel/hostlistlog.h"

#include <algorithm>
#include <set>

namespace harelink {
namespace {

/// Lists that are remembered. A relay makes four per second at most, and a receiver reports the
/// list that it has within a second.
constexpr std::size_t maxRecentLists = 32;

} // namespace

void HostListLog::record(const std::vector<HostReport> &hosts, std::uint64_t hash)
{
    if (isCurrent(hash)) {
        return;
    }
    ++m_number;
    std::set<std::string> listed;
    for (const HostReport &report : hosts) {
        listed.insert(report.host);
        const auto [found, isNew] = m_hosts.try_emplace(report.host);
        Host &host = found->second;
        if (isNew || host.isRemoved || host.report != report) {
            host = {report, false, m_number};
        }
    }
    for (auto &[name, host] : m_hosts) {
        if (!host.isRemoved && !listed.contains(name)) {
            host.isRemoved = true;
            host.changedAt = m_number;
        }
    }
    m_recent.emplace_back(hash, m_number);
    if (m_recent.size() > maxRecentLists) {
        m_recent.pop_front();
    }
    const std::uint64_t oldest = m_recent.front().second;
    std::erase_if(m_hosts, [oldest](const auto &entry) {
        return entry.second.isRemoved && entry.second.changedAt < oldest;
    });
}

std::optional<HostListChanges> HostListLog::changesSince(std::uint64_t hash) const
{
    // A list may recur; its changes since the last time are fewer.
    const auto known = std::find_if(m_recent.rbegin(), m_recent.rend(),
                                    [hash](const auto &entry) { return entry.first == hash; });
    if (known == m_recent.rend()) {
        return std::nullopt;
    }
    HostListChanges changes;
    for (const auto &[name, host] : m_hosts) {
        if (host.changedAt <= known->second) {
            continue;
        }
        if (host.isRemoved) {
            changes.removedHosts.push_back(name);
        } else {
            changes.hosts.push_back(host.report);
        }
    }
    const bool isShorter = changes.hosts.size() + changes.removedHosts.size() < m_hosts.size();
    return isShorter ? std::optional(std::move(changes)) : std::nullopt;
}

} // namespace harelink
