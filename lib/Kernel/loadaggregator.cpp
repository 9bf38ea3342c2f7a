//===- loadaggregator.cpp - Sums of reported load -------------------------===//

#include "harelink/Kernel/loadaggregator.h"

#include <algorithm>

namespace harelink {
namespace {

/// Paces that were not sent for this period are dropped: nobody has requested summaries, and they
/// would be too old for the next ones.
constexpr std::chrono::seconds maxPaceAge{4};
/// Maximum number of hosts of a data centre, and of requests that one reads per second, that are
/// believed.
constexpr std::uint32_t maxReportedHosts = 100'000;
constexpr std::uint32_t maxReportedReads = 1'000'000;

/// Returns the sum of \p calls and \p more, limited to what can be reported.
int addCalls(int calls, int more)
{
    return std::min(maxReportedCalls, calls + std::clamp(more, 0, maxReportedCalls));
}

} // namespace

void LoadAggregator::update(Load &load, const std::vector<PromptBacklog> &prompts,
                            const std::vector<PieceBacklog> &backlogs, TimePoint now)
{
    load.at = now;
    load.prompts.clear();
    for (const PromptBacklog &prompt : prompts) {
        Prompts &sum = load.prompts[prompt.endpoint];
        sum.tokens += prompt.tokens;
        sum.calls = addCalls(sum.calls, prompt.calls);
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

void LoadAggregator::update(Load &load, const std::vector<EndpointPaceReport> &paces)
{
    for (const EndpointPaceReport &report : paces) {
        load.paces.add(report);
    }
}

void LoadAggregator::record(const std::string &host, const Heartbeat &heartbeat)
{
    Load &load = m_local[host];
    update(load, heartbeat.prompts, heartbeat.backlogs, m_clock.now());
    update(load, heartbeat.usage);
    update(load, heartbeat.paces);
    load.servingHosts = std::min(heartbeat.servingHosts, 1U);
    load.crowdedHosts = std::min(heartbeat.crowdedHosts, 1U);
    load.readsPerSecond = std::min(heartbeat.readsPerSecond, maxReportedReads);
}

void LoadAggregator::record(const std::string &dataCentre, const PeerSummary &summary)
{
    Load &load = m_remote[dataCentre];
    update(load, summary.prompts, summary.backlogs, m_clock.now());
    if (summary.hasUsage) {
        update(load, summary.usage);
    }
    update(load, summary.paces);
    load.servingHosts = std::min(summary.servingHosts, maxReportedHosts);
    load.crowdedHosts = std::min(summary.crowdedHosts, maxReportedHosts);
    load.readsPerSecond = std::min(summary.readsPerSecond, maxReportedReads);
}

void LoadAggregator::recordOwn(const Heartbeat &own)
{
    update(m_own, own.prompts, own.backlogs, m_clock.now());
    update(m_own, own.usage);
    update(m_own, own.paces);
    m_own.servingHosts = own.servingHosts;
    m_own.crowdedHosts = own.crowdedHosts;
    m_own.readsPerSecond = own.readsPerSecond;
}

void LoadAggregator::removeExpired(Duration ttl)
{
    const TimePoint now = m_clock.now();
    const auto isExpired = [&](const auto &entry) { return now - entry.second.at > ttl; };
    std::erase_if(m_local, isExpired);
    std::erase_if(m_remote, isExpired);
    if (now - m_pacesResetAt > maxPaceAge) {
        changeSources([](Load &load) { load.paces.clear(); });
        m_pacesResetAt = now;
    }
}

void LoadAggregator::add(const Load &load, Load &total)
{
    for (const auto &[endpoint, prompts] : load.prompts) {
        Prompts &sum = total.prompts[endpoint];
        sum.tokens += prompts.tokens;
        sum.calls = addCalls(sum.calls, prompts.calls);
    }
    for (const auto &[key, accountUsage] : load.usage) {
        AccountUsage &sum = total.usage[key];
        sum.time += accountUsage.time;
        sum.demand += accountUsage.demand;
    }
    total.servingHosts += load.servingHosts;
    total.crowdedHosts += load.crowdedHosts;
    total.readsPerSecond += load.readsPerSecond;
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
    chooseBatch();
}

/// Chooses the endpoints whose paces this round's summaries report, and sums these. Each source
/// gets an equal part, so that none can take the messages by reporting many endpoints.
void LoadAggregator::chooseBatch()
{
    std::vector<Load *> sources;
    changeSources([&sources](Load &load) { sources.push_back(&load); });
    // If there are more sources than endpoints in a message, others begin in the next round.
    std::rotate(sources.begin(),
                sources.begin() + static_cast<std::ptrdiff_t>(m_paceRound % sources.size()),
                sources.end());
    std::vector<PaceTurn> turns;
    turns.reserve(sources.size());
    for (const Load *source : sources) {
        turns.push_back({&source->paces, source->lastPace});
    }
    m_paceBatch = batchOf(turns);
    for (std::size_t i = 0; i < sources.size(); ++i) {
        sources[i]->nextLastPace = turns[i].last;
    }
    m_localTotal.paces.add(m_own.paces, m_paceBatch);
    for (const auto &[host, load] : m_local) {
        m_localTotal.paces.add(load.paces, m_paceBatch);
    }
    m_globalTotal.paces = m_localTotal.paces;
    for (const auto &[dataCentre, load] : m_remote) {
        m_globalTotal.paces.add(load.paces, m_paceBatch);
    }
}

void LoadAggregator::addPrompts(const Load &total, const Load &excluded, PeerSummary &summary)
{
    for (const auto &[endpoint, sum] : total.prompts) {
        const auto own = excluded.prompts.find(endpoint);
        const Prompts part = own == excluded.prompts.end() ? Prompts() : own->second;
        const Prompts others{sum.tokens - part.tokens, std::max(0, sum.calls - part.calls)};
        if (others.tokens != 0 || others.calls != 0) {
            summary.prompts.push_back({endpoint, others.tokens, others.calls});
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
    // The receiver may have reported again since the round began.
    const auto without = [](std::uint32_t sum, std::uint32_t part) {
        return sum - std::min(sum, part);
    };
    summary.servingHosts = without(total.servingHosts, excluded.servingHosts);
    summary.crowdedHosts = without(total.crowdedHosts, excluded.crowdedHosts);
    summary.readsPerSecond = without(total.readsPerSecond, excluded.readsPerSecond);
    summary.hasUsage = hasUsage;
    if (hasUsage) {
        addUsage(total, excluded, summary);
        total.paces.report(m_paceBatch, excluded.paces, summary.paces);
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
    resetPaces();
}

/// Calls \p change with the load of each source.
template <typename Change>
void LoadAggregator::changeSources(const Change &change)
{
    change(m_own);
    for (LoadBySource *sources : {&m_local, &m_remote}) {
        for (auto &[source, load] : *sources) {
            change(load);
        }
    }
}

/// Removes the paces that were sent. Those that have to wait for the next batch lose weight, so
/// that they are not reported as recent where the endpoints are many.
void LoadAggregator::resetPaces()
{
    changeSources([this](Load &load) {
        load.paces.remove(m_paceBatch);
        load.paces.halve();
        load.lastPace = load.nextLastPace;
    });
    ++m_paceRound;
    m_pacesResetAt = m_clock.now();
}

} // namespace harelink
