//===- loadaggregator.cpp - Sums of reported load -------------------------===//

#include "harelink/Kernel/loadaggregator.h"

#include <algorithm>

namespace harelink {

void LoadAggregator::update(Load &load, const std::vector<PromptBacklog> &prompts,
                            const std::vector<PieceBacklog> &backlogs, TimePoint now)
{
    load.at = now;
    load.prompts.clear();
    for (const PromptBacklog &prompt : prompts) {
        load.prompts[prompt.endpoint] += prompt.tokens;
    }
    load.backlogs = backlogs;
}

void LoadAggregator::update(Load &load, const std::vector<UsageReport> &usage)
{
    for (auto &[key, accountUsage] : load.usage) {
        accountUsage.demand = 0;
    }
    for (const UsageReport &report : usage) {
        AccountUsage &accountUsage = load.usage[{report.account, report.pool}];
        accountUsage.time += report.time;
        accountUsage.demand = report.demand;
    }
}

void LoadAggregator::record(const std::string &host, const Heartbeat &heartbeat)
{
    Load &load = m_local[host];
    update(load, heartbeat.prompts, heartbeat.backlogs, m_clock.now());
    update(load, heartbeat.usage);
}

void LoadAggregator::record(const std::string &dataCentre, const PeerSummary &summary)
{
    Load &load = m_remote[dataCentre];
    update(load, summary.prompts, summary.backlogs, m_clock.now());
    if (summary.hasUsage) {
        update(load, summary.usage);
    }
}

void LoadAggregator::recordOwn(const Heartbeat &own)
{
    update(m_own, own.prompts, own.backlogs, m_clock.now());
    update(m_own, own.usage);
}

void LoadAggregator::removeExpired(Duration ttl)
{
    const TimePoint now = m_clock.now();
    const auto isExpired = [&](const auto &entry) { return now - entry.second.at > ttl; };
    std::erase_if(m_local, isExpired);
    std::erase_if(m_remote, isExpired);
}

void LoadAggregator::add(const Load &load, Load &total)
{
    for (const auto &[endpoint, tokens] : load.prompts) {
        total.prompts[endpoint] += tokens;
    }
    for (const auto &[key, accountUsage] : load.usage) {
        AccountUsage &sum = total.usage[key];
        sum.time += accountUsage.time;
        sum.demand += accountUsage.demand;
    }
}

void LoadAggregator::beginRound()
{
    m_localTotal = {};
    add(m_own, m_localTotal);
    m_batchers.clear();
    for (const auto &[host, load] : m_local) {
        add(load, m_localTotal);
        if (!load.backlogs.empty()) {
            m_batchers.push_back(host);
        }
    }
    m_globalTotal = m_localTotal;
    for (const auto &[dataCentre, load] : m_remote) {
        add(load, m_globalTotal);
    }
}

void LoadAggregator::addPrompts(const Load &total, const Load &excluded, PeerSummary &summary)
{
    for (const auto &[endpoint, tokens] : total.prompts) {
        const auto own = excluded.prompts.find(endpoint);
        const std::int64_t others = own == excluded.prompts.end() ? tokens : tokens - own->second;
        if (others != 0) {
            summary.prompts.push_back({endpoint, others});
        }
    }
}

void LoadAggregator::addUsage(const Load &total, const Load &excluded, PeerSummary &summary)
{
    for (const auto &[key, sum] : total.usage) {
        const auto own = excluded.usage.find(key);
        const AccountUsage part = own == excluded.usage.end() ? AccountUsage() : own->second;
        const AccountUsage others{sum.time - part.time, sum.demand - part.demand};
        if (others.time != Duration{} || others.demand > 0) {
            summary.usage.push_back({key.first, key.second, others.time, others.demand});
        }
    }
}

void LoadAggregator::addBacklogs(const Load &load, PeerSummary &summary) const
{
    const Duration age = m_clock.now() - load.at;
    for (PieceBacklog backlog : load.backlogs) {
        backlog.freeIn = std::max<Duration>(Duration::zero(), backlog.freeIn - age);
        summary.backlogs.push_back(std::move(backlog));
    }
}

void LoadAggregator::addTo(PeerSummary &summary, const std::string &host, bool isLocal,
                           bool hasUsage) const
{
    static const Load none;
    const auto found = m_local.find(host);
    const Load &excluded = found == m_local.end() ? none : found->second;
    const Load &total = isLocal ? m_globalTotal : m_localTotal;
    addPrompts(total, excluded, summary);
    summary.hasUsage = hasUsage;
    if (hasUsage) {
        addUsage(total, excluded, summary);
    }
    addBacklogs(m_own, summary);
    for (const std::string &batcher : m_batchers) {
        if (batcher != host) {
            addBacklogs(m_local.at(batcher), summary);
        }
    }
    for (const auto &[dataCentre, load] : m_remote) {
        if (isLocal) {
            addBacklogs(load, summary);
        }
    }
}

void LoadAggregator::resetUsedTime()
{
    m_own.usage.clear();
    for (LoadBySource *sources : {&m_local, &m_remote}) {
        for (auto &[source, load] : *sources) {
            for (auto &[key, accountUsage] : load.usage) {
                accountUsage.time = {};
            }
        }
    }
}

} // namespace harelink
